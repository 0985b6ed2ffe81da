"""The table, objects and list of hosts of the slices, kept in the platform's store."""

from __future__ import annotations

from http import HTTPMethod
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import quote

from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.platform.rows import RequiredVersion
from flamingoladder.platform.rows import RowStore
from flamingoladder.storage.exceptions import PlatformRefusedError
from flamingoladder.storage.hostlist import HostList
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost
from flamingoladder.storage.objects import ObjectStore
from flamingoladder.storage.table import MAX_TRANSACTION_ROWS
from flamingoladder.storage.table import Commit
from flamingoladder.storage.table import Row
from flamingoladder.storage.table import Rows
from flamingoladder.storage.table import TableService

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.platform.http_transport import HttpTransport
    from flamingoladder.storage.table import Condition
    from flamingoladder.storage.table import Write

STATE_TABLE = "state"
HOSTS_TABLE = "hosts"
LAST_CHARACTER = "\U0010ffff"
OBJECT_STORED = frozenset({HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.PRECONDITION_FAILED})
OBJECT_FOUND_OR_NOT = frozenset({HTTPStatus.OK, HTTPStatus.NOT_FOUND})


class StoreTable(TableService):
    """A table of the platform's store."""

    __slots__ = ("_store",)

    def __init__(self, store: RowStore) -> None:
        self._store = store

    @property
    def era(self) -> int:
        """Return the store's era."""
        return self._store.era

    async def read(self, prefix: str, timeout_s: float) -> Rows:
        """Return the rows whose key starts with ``prefix``."""
        end = prefix + LAST_CHARACTER if prefix else None
        found = await self._store.read_all(STATE_TABLE, prefix, end, timeout_s)
        rows = tuple(Row(row.key, row.value or b"", row.version) for row in found.rows)
        return Rows(rows, found.position.version)

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row of ``key``, or None."""
        found = await self._store.read_all(STATE_TABLE, key, key + "\0", timeout_s)
        return next((Row(row.key, row.value or b"", row.version) for row in found.rows), None)

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write], timeout_s: float
    ) -> Commit:
        """Apply all ``writes`` if all ``conditions`` hold, else none."""
        if max(len(conditions), len(writes)) > MAX_TRANSACTION_ROWS:
            raise PlatformRefusedError(f"over {MAX_TRANSACTION_ROWS} rows in one transaction")
        values_by_key = {write.key: write.value for write in writes}
        if len(values_by_key) < len(writes):
            raise PlatformRefusedError("two writes on one key in one transaction")
        required = [RequiredVersion(of.key, of.revision) for of in conditions]
        done = await self._store.transact(STATE_TABLE, required, values_by_key, timeout_s)
        return Commit(done.applied, done.version)


class StoreObjects(ObjectStore):
    """Raw objects of the platform's store, created once and never replaced."""

    __slots__ = ("_transport",)

    def __init__(self, transport: HttpTransport) -> None:
        self._transport = transport

    async def put(self, name: str, content: bytes, timeout_s: float) -> None:
        """Create the object; it is a success if ``name`` exists, as names are digests."""
        headers = {"If-None-Match": "*", "Content-Type": "application/octet-stream"}
        path = f"/-/blob-put/{quote(name, safe='')}"
        call = HttpCall(HTTPMethod.PUT, path, OBJECT_STORED, content, headers)
        await self._transport.write(call, timeout_s)

    async def get(self, name: str, timeout_s: float) -> bytes | None:
        """Return the object's content, or None."""
        path = f"/-/blob-get/{quote(name, safe='')}"
        call = HttpCall(HTTPMethod.GET, path, OBJECT_FOUND_OR_NOT)
        reply = await self._transport.read(call, timeout_s)
        return None if reply.status == HTTPStatus.NOT_FOUND else reply.body


class StoreHosts(HostList):
    """Rows that name hosts and whether they are live or leaving."""

    __slots__ = ("_store",)

    def __init__(self, store: RowStore) -> None:
        self._store = store

    async def read(self, timeout_s: float) -> tuple[ListedHost, ...]:
        """Return the list; rows of another kind name no host."""
        found = await self._store.read_all(HOSTS_TABLE, timeout_s=timeout_s)
        statuses = {status.value.encode(): status for status in HostStatus}
        return tuple(
            ListedHost(row.key, statuses[row.value]) for row in found.rows if row.value in statuses
        )
