"""Keeps known objects in rows of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.fleet.object_snapshots import ObjectsByService
from flamingoladder.fleet.object_snapshots import ObjectSnapshotStore
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from flamingoladder.platform.rows import RowStore
    from flamingoladder.timeline.recorder import Recorder

TABLE = "objects"
MAX_ROW_BYTES = 60_000

_decoder = Decoder.of_json(ObjectsByService)


class ObjectRows(ObjectSnapshotStore):
    """One row for each region."""

    __slots__ = ("_recorder", "_store")

    def __init__(self, store: RowStore, recorder: Recorder) -> None:
        self._store = store
        self._recorder = recorder

    @property
    def era(self) -> int:
        """Return the store's era."""
        return self._store.era

    async def read(self) -> dict[str, ObjectsByService] | None:
        """Return the objects by region, or None if the store can't be read."""
        try:
            found = await self._store.read_all(TABLE)
        except PlatformError as error:
            self._recorder.record("objects.not_read", error=error)
            return None
        objects: dict[str, ObjectsByService] = {}
        for row in found.rows:
            try:
                objects[row.key] = _decoder.decode(row.value or b"{}")
            except MalformedValueError as error:
                self._recorder.record("objects.unreadable", region=row.key, error=error)
        return objects

    async def write(self, region: str, objects: ObjectsByService) -> bool:
        """Write the row of a region; objects beyond the size of a row are not kept."""
        value = msgspec.json.encode(objects)
        if len(value) > MAX_ROW_BYTES:
            return False
        try:
            await self._store.write(TABLE, region, value)
        except PlatformError as error:
            self._recorder.record("objects.not_kept", region=region, error=error)
            return False
        return True
