"""Reads and writes the head and its objects in the platform's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.freshness.head import HEAD_KEY
from flamingoladder.freshness.head import Head
from flamingoladder.freshness.head import decode_head
from flamingoladder.freshness.head import decode_state
from flamingoladder.freshness.head import encode_head
from flamingoladder.freshness.head import object_name
from flamingoladder.freshness.head import object_names
from flamingoladder.freshness.messages import ObjectReply
from flamingoladder.freshness.messages import ObjectRequest
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.head import EncodedHead
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.objects import ObjectStore
    from flamingoladder.storage.table import Commit
    from flamingoladder.storage.table import TableService


class StoredHead(msgspec.Struct, frozen=True):
    """The head as read from the table; ``revision`` is 0 and ``head`` None if there is none.

    ``era`` is the store's era of the answer or, if another answer overtook it, a later one.
    """

    head: Head | None
    revision: int
    era: int


class HeadStorage:
    """Access to the head, with a cache of the objects of the head last loaded or committed."""

    __slots__ = ("_content_by_name", "_links", "_objects", "_settings", "_table")

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        links: PeerLinks,
        settings: FreshnessSettings,
    ) -> None:
        self._table = table
        self._objects = objects
        self._links = links
        self._settings = settings
        self._content_by_name: dict[str, bytes] = {}

    @property
    def era(self) -> int:
        """Return the newest era of the store that an answer named."""
        return self._table.era

    async def read(self) -> StoredHead:
        """Return the head in the table.

        :raises PlatformUnavailableError: if the table did not answer in time.
        :raises StateUnreadableError: if the row can't be decoded.
        """
        row = await self._table.get(HEAD_KEY, self._settings.store_timeout_s)
        era = self._table.era
        if row is None:
            return StoredHead(None, 0, era)
        return StoredHead(decode_head(row.value), row.revision, era)

    async def load(self, head: Head, source: str | None = None) -> AgreedState:
        """Return the state of ``head``; fetch objects missing in the store from host ``source``.

        :raises StateUnreadableError: if an object can't be read or decoded.
        """
        names = object_names(head)
        content_by_name = {name: await self._object_content(name, source) for name in names}
        self._content_by_name = content_by_name
        return decode_state(head, content_by_name)

    async def put_objects(self, encoded: EncodedHead) -> None:
        """Write the objects that may be missing in the store.

        :raises PlatformError: if the object store did not answer; the call may be repeated.
        """
        for name, content in encoded.content_by_name.items():
            if name not in self._content_by_name:
                await self._objects.put(name, content, self._settings.store_timeout_s)

    async def put_back(self, base: StoredHead, head: Head) -> Commit:
        """Write ``head``, whose objects are cached, over an older one if that is unchanged.

        :raises PlatformError: if the store did not answer in time.
        """
        for name in object_names(head):
            content = self._content_by_name.get(name)
            if content is not None:
                await self._objects.put(name, content, self._settings.store_timeout_s)
        return await self.replace(base, head)

    async def replace(
        self, base: StoredHead, head: Head, conditions: tuple[Condition, ...] = ()
    ) -> Commit:
        """Write ``head`` if the row is still at ``base`` and ``conditions`` hold.

        The registered incarnations are part of the row, so the condition covers them too.

        :raises PlatformError: if the table did not answer in time.
        """
        head_unchanged = Condition(HEAD_KEY, base.revision)
        write = Write(HEAD_KEY, encode_head(head))
        return await self._table.transact(
            (head_unchanged, *conditions), (write,), self._settings.store_timeout_s
        )

    def cache_objects(self, encoded: EncodedHead) -> None:
        """Cache the objects of a head that this host has committed."""
        self._content_by_name = encoded.content_by_name

    def cached_content(self, name: str) -> bytes | None:
        """Return the content of a cached object, or None."""
        return self._content_by_name.get(name)

    async def _object_content(self, name: str, source: str | None) -> bytes:
        content = self._content_by_name.get(name)
        if content is None:
            content = await self._read_object(name)
        if content is None and source is not None:
            content = await self._request_object(source, name)
        if content is None:
            raise StateUnreadableError(f"object {name} can't be read")
        return content

    async def _read_object(self, name: str) -> bytes | None:
        try:
            return await self._objects.get(name, self._settings.store_timeout_s)
        except PlatformError:
            return None

    async def _request_object(self, host: str, name: str) -> bytes | None:
        request = ObjectRequest(name)
        reply = await self._links.request(host, request, self._settings.peer_timeout_s)
        if not isinstance(reply, ObjectReply) or reply.content is None:
            return None
        return reply.content if object_name(reply.content) == name else None
