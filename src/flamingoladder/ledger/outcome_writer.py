"""Writes outcomes into the table in the background, many to a transaction."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING

from flamingoladder.ledger.exceptions import LedgerRowError
from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import CLAIMS_PREFIX
from flamingoladder.ledger.rows import ClaimRow
from flamingoladder.ledger.rows import ClaimState
from flamingoladder.ledger.rows import decode_claim
from flamingoladder.ledger.rows import encode
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.exceptions import PlatformRefusedError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.ledger.answer_store import AnswerStore
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.entries import Entry
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

BATCH_ROWS = 32
BATCH_S = 0.05
RETRY_S = 1.0


class WriteKind(Enum):
    """What the end of an attempt does to its row."""

    OUTCOME = auto()
    RELEASE = auto()


class PendingWrite:
    """A write that the table has not confirmed.

    ``revision`` is the revision that the claim row must have; it is None where the row must be
    read first, because an answer was lost. ``write`` is set once the row can be written.
    """

    __slots__ = ("entry", "kind", "revision", "write")

    def __init__(self, kind: WriteKind, entry: Entry) -> None:
        self.kind = kind
        self.entry = entry
        self.revision = entry.revision
        self.write: Write | None = None

    @property
    def is_ticket(self) -> bool:
        """Return whether the row belongs to this incarnation alone and needs no condition."""
        return not self.entry.name.startswith(CLAIMS_PREFIX)


class OutcomeWriter:
    """Brings outcomes into the table, and releases the rows of claims that were given up."""

    __slots__ = ("_answers", "_entries", "_flushing", "_pending", "_recorder", "_table", "_wake")

    def __init__(
        self, table: TableService, answers: AnswerStore, entries: Entries, recorder: Recorder
    ) -> None:
        self._table = table
        self._answers = answers
        self._entries = entries
        self._recorder = recorder
        self._pending: deque[PendingWrite] = deque()
        self._wake = asyncio.Event()
        self._flushing = asyncio.Lock()

    @property
    def idle(self) -> bool:
        """Return whether the table has confirmed everything."""
        return not self._pending

    def write(self, entry: Entry) -> None:
        """Write the entry's outcome soon."""
        self._add(PendingWrite(WriteKind.OUTCOME, entry))

    def release(self, entry: Entry) -> None:
        """Delete the row of the entry's claim soon, if it is still that claim."""
        self._add(PendingWrite(WriteKind.RELEASE, entry))

    async def serve(self) -> None:
        """Write what is pending, for as long as the host runs."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_S)
            if not await self.flush():
                await asyncio.sleep(RETRY_S)

    async def flush(self) -> bool:
        """Write all that is pending; return False once the platform fails."""
        async with self._flushing:
            while self._pending:
                size = min(BATCH_ROWS, len(self._pending))
                if not await self._flushed([self._pending.popleft() for _ in range(size)]):
                    return False
            self._wake.clear()
            return True

    def _add(self, pending: PendingWrite) -> None:
        self._pending.append(pending)
        self._wake.set()

    async def _flushed(self, batch: list[PendingWrite]) -> bool:
        """Write the batch; what is left, or all of it when cancelled, is pending again."""
        left = batch
        try:
            left = await self._written(batch)
        finally:
            self._pending.extend(left)
        return not left

    async def _written(self, batch: Sequence[PendingWrite]) -> list[PendingWrite]:
        """Return what is left of the batch because the platform failed."""
        left = [each for each in batch if not await self._prepared(each)]
        ready = [each for each in batch if each.write is not None]
        try:
            if await self._written_together(ready):
                return left
        except (OutcomeUnknownError, PlatformRefusedError) as error:
            self._recorder.record("ledger.write_unknown", rows=len(ready), error=error)
        except PlatformUnavailableError as error:
            self._recorder.record("ledger.write_failed", rows=len(ready), error=error)
            return left + ready
        return left + [each for each in ready if not await self._written_singly(each)]

    async def _prepared(self, pending: PendingWrite) -> bool:
        """Store a large answer; return False if the object store failed."""
        if pending.write is not None:
            return True
        try:
            pending.write = await self._row(pending)
        except PlatformError as error:
            self._recorder.record("ledger.answer_failed", error=error)
            return False
        return True

    async def _written_together(self, batch: Sequence[PendingWrite]) -> bool:
        """Write the whole batch in one transaction.

        :raises PlatformError: if the table did not answer, or took no such transaction.
        """
        if len({each.entry.name for each in batch}) < len(batch):
            return False
        if any(not each.is_ticket and each.revision is None for each in batch):
            return False
        conditions = [
            Condition(each.entry.name, each.revision) for each in batch if each.revision is not None
        ]
        writes = [each.write for each in batch if each.write is not None]
        commit = await self._table.transact(conditions, writes, TABLE_TIMEOUT_S)
        if commit.committed:
            self._confirm(batch)
        return commit.committed

    async def _written_singly(self, pending: PendingWrite) -> bool:
        """Write one row after reading it, so that an earlier lost answer does no harm."""
        try:
            while not await self._tried(pending):
                continue
        except PlatformError as error:
            self._recorder.record("ledger.write_failed", rows=1, error=error)
            pending.revision = None
            return False
        self._confirm([pending])
        return True

    async def _tried(self, pending: PendingWrite) -> bool:
        """Return whether nothing is left to write; guard ``release_is_conditional``.

        :raises PlatformError: if the table did not answer.
        """
        assert pending.write is not None
        conditions = []
        if not pending.is_ticket:
            row = await self._table.get(pending.entry.name, TABLE_TIMEOUT_S)
            if row is None or not self._is_claim_of(pending.entry, row.value):
                return True
            conditions = [Condition(row.key, row.revision)]
        commit = await self._table.transact(conditions, [pending.write], TABLE_TIMEOUT_S)
        return commit.committed

    def _is_claim_of(self, entry: Entry, value: bytes) -> bool:
        try:
            claim = decode_claim(value)
        except LedgerRowError as error:
            self._recorder.record("ledger.bad_row", error=error)
            return False
        holder = (claim.host, claim.incarnation, claim.attempt)
        own = (self._recorder.host, self._recorder.incarnation, entry.attempt)
        return holder == own and claim.state is ClaimState.CLAIMED

    async def _row(self, pending: PendingWrite) -> Write:
        entry = pending.entry
        if pending.kind is WriteKind.RELEASE:
            return Write(entry.name, None)
        assert entry.kept is not None
        row = ClaimRow(
            host=self._recorder.host,
            incarnation=self._recorder.incarnation,
            attempt=entry.attempt,
            digest=entry.digest,
            state=ClaimState.DONE,
            outcome=await self._answers.stored(entry.kept),
        )
        return Write(entry.name, encode(row))

    def _confirm(self, batch: Sequence[PendingWrite]) -> None:
        now = asyncio.get_running_loop().time()
        for pending in batch:
            if pending.kind is WriteKind.OUTCOME:
                self._entries.written(pending.entry, now)
