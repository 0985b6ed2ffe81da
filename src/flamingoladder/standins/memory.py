"""In-memory table service, object store and host list, with faults that can be switched on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.standins.exceptions import MalformedRequestError
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformRefusedError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.hostlist import HostList
from flamingoladder.storage.objects import ObjectStore
from flamingoladder.storage.table import MAX_TRANSACTION_ROWS
from flamingoladder.storage.table import Commit
from flamingoladder.storage.table import Row
from flamingoladder.storage.table import Rows
from flamingoladder.storage.table import TableService

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.storage.hostlist import ListedHost
    from flamingoladder.storage.table import Condition
    from flamingoladder.storage.table import Write


class Faults:
    """The faults in effect: ``delay_s`` is the one-way delay in seconds.

    ``lost_answers`` counts the next writes that take effect while their answers are lost.
    """

    __slots__ = ("delay_s", "down", "lost_answers")

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lost_answers = 0


class StoredTableCopy(msgspec.Struct, frozen=True):
    """The rows as they were at a revision."""

    rows_by_key: dict[str, Row]
    revision: int


class StoredTable:
    """The rows themselves, shared by all clients."""

    __slots__ = ("era", "reads", "revision", "rows_by_key", "writes")

    def __init__(self) -> None:
        self.era = 1
        self.rows_by_key: dict[str, Row] = {}
        self.revision = 0
        self.reads = 0
        self.writes = 0

    def copy(self) -> StoredTableCopy:
        """Return a copy of all rows."""
        return StoredTableCopy(dict(self.rows_by_key), self.revision)

    def restore(self, copy: StoredTableCopy) -> None:
        """Come back from a copy: what was written since is gone, and a new era begins."""
        self.rows_by_key = dict(copy.rows_by_key)
        self.revision = copy.revision
        self.era += 1

    def read(self, prefix: str) -> Rows:
        """Return the rows whose key starts with ``prefix``."""
        self.reads += 1
        keys = sorted(key for key in self.rows_by_key if key.startswith(prefix))
        return Rows(tuple(self.rows_by_key[key] for key in keys), self.revision)

    def get(self, key: str) -> Row | None:
        """Return the row of ``key``, or None."""
        self.reads += 1
        return self.rows_by_key.get(key)

    def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> Commit:
        """Apply the writes if the conditions hold.

        :raises MalformedRequestError: if there are too many rows, or two writes on one key.
        """
        self.writes += 1
        _check_rows(conditions, writes)
        if not all(self._holds(condition) for condition in conditions):
            return Commit(False, self.revision)
        self.revision += 1
        for write in writes:
            self._apply(write)
        return Commit(True, self.revision)

    def _holds(self, condition: Condition) -> bool:
        row = self.rows_by_key.get(condition.key)
        return condition.revision == (row.revision if row else 0)

    def _apply(self, write: Write) -> None:
        if write.value is None:
            self.rows_by_key.pop(write.key, None)
            return
        self.rows_by_key[write.key] = Row(write.key, write.value, self.revision)


def _check_rows(conditions: Sequence[Condition], writes: Sequence[Write]) -> None:
    if max(len(conditions), len(writes)) > MAX_TRANSACTION_ROWS:
        raise MalformedRequestError("too many rows in one transaction")
    if len({write.key for write in writes}) < len(writes):
        raise MalformedRequestError("two writes on one key in one transaction")


class MemoryTable(TableService):
    """One host's access to a stored table, with faults of its own."""

    __slots__ = ("_era", "_stored", "faults")

    def __init__(self, stored: StoredTable, faults: Faults | None = None) -> None:
        self._stored = stored
        self._era = 0
        self.faults = faults or Faults()

    @property
    def era(self) -> int:
        """Return the newest era of an answer."""
        return self._era

    async def read(self, prefix: str, timeout_s: float) -> Rows:
        """Return the rows under ``prefix`` after the round trip's delay."""
        await self._travel(timeout_s)
        rows, era = self._stored.read(prefix), self._stored.era
        await self._travel(timeout_s)
        self._note_era(era)
        return rows

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row of ``key`` after the round trip's delay."""
        await self._travel(timeout_s)
        row, era = self._stored.get(key), self._stored.era
        await self._travel(timeout_s)
        self._note_era(era)
        return row

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write], timeout_s: float
    ) -> Commit:
        """Apply the transaction, then lose its answer if that fault is switched on."""
        await self._travel(timeout_s)
        try:
            commit, era = self._stored.transact(conditions, writes), self._stored.era
        except MalformedRequestError as error:
            raise PlatformRefusedError(str(error)) from error
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("answer lost")
        try:
            await self._travel(timeout_s)
            self._note_era(era)
        except PlatformUnavailableError as error:
            raise OutcomeUnknownError(str(error)) from error
        return commit

    def _note_era(self, era: int) -> None:
        if era < self._era:
            raise PlatformUnavailableError(f"answer of era {era}, now {self._era}")
        self._era = era

    async def _travel(self, timeout_s: float) -> None:
        if self.faults.down or 2 * self.faults.delay_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise PlatformUnavailableError(f"no answer within {timeout_s} s")
        await asyncio.sleep(self.faults.delay_s)


class MemoryObjects(ObjectStore):
    """An object store in memory."""

    __slots__ = ("_content_by_name", "faults")

    def __init__(self, content_by_name: dict[str, bytes], faults: Faults | None = None) -> None:
        self._content_by_name = content_by_name
        self.faults = faults or Faults()

    async def put(self, name: str, content: bytes, timeout_s: float) -> None:
        """Store the object."""
        self._check()
        self._content_by_name[name] = content

    async def get(self, name: str, timeout_s: float) -> bytes | None:
        """Return the object's content, or None."""
        self._check()
        return self._content_by_name.get(name)

    def _check(self) -> None:
        if self.faults.down:
            raise PlatformUnavailableError("object store is down")


class MemoryHostList(HostList):
    """A host list in memory."""

    __slots__ = ("faults", "hosts")

    def __init__(self, hosts: tuple[ListedHost, ...] = (), faults: Faults | None = None) -> None:
        self.hosts = hosts
        self.faults = faults or Faults()

    async def read(self, timeout_s: float) -> tuple[ListedHost, ...]:
        """Return the list."""
        if self.faults.down:
            raise PlatformUnavailableError("host list is down")
        return self.hosts
