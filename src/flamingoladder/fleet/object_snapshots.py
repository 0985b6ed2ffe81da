"""Snapshots of the known objects, restored after all hosts were lost at the same time."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.entry.load_balancer import LoadBalancer
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.members.member import Member

SNAPSHOT_INTERVAL_S = 2.0
MAX_SNAPSHOT_OBJECTS_PER_SERVICE = 500

ObjectsByService = dict[str, list[str]]


class ObjectSnapshotStore(ABC):
    """Store of one snapshot of known objects per region."""

    @property
    @abstractmethod
    def era(self) -> int:
        """Return a number that rises when the store comes back from an older copy."""

    @abstractmethod
    async def read(self) -> dict[str, ObjectsByService] | None:
        """Return the objects by region, or None if the store can't be read."""

    @abstractmethod
    async def write(self, region: str, objects: ObjectsByService) -> bool:
        """Replace the snapshot of a region; return whether it was written."""


class ObjectSnapshotter:
    """Restores the snapshots at start; one host per region then writes new ones."""

    __slots__ = ("_balancer", "_members", "_own", "_saved", "_saved_in_era", "_store")

    def __init__(
        self,
        own: Member,
        members: MemberRegistry,
        balancer: LoadBalancer,
        store: ObjectSnapshotStore,
    ) -> None:
        self._own = own
        self._members = members
        self._balancer = balancer
        self._store = store
        self._saved: ObjectsByService = {}
        self._saved_in_era = 0

    async def run(self) -> None:
        """Restore the snapshots, then write them periodically until cancelled."""
        await self._restore()
        while True:
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            await self._save(asyncio.get_running_loop().time())

    async def _restore(self) -> None:
        found = await self._store.read()
        while found is None:
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            found = await self._store.read()
        for region, objects_by_service in found.items():
            for service, objects in objects_by_service.items():
                self._balancer.homes_of(service).add_objects(objects, region)
        self._saved = found.get(self._own.region, {})
        self._saved_in_era = self._store.era

    async def _save(self, now: float) -> None:
        if not self._members.has_lowest_name(now, self._own.region):
            return
        if self._saved_in_era != self._store.era:
            self._saved, self._saved_in_era = {}, self._store.era
        objects = self._balancer.objects_by_service(MAX_SNAPSHOT_OBJECTS_PER_SERVICE)
        if _count(objects) <= _count(self._saved):
            return
        if await self._store.write(self._own.region, objects):
            self._saved = objects


def _count(objects: ObjectsByService) -> int:
    return sum(map(len, objects.values()))
