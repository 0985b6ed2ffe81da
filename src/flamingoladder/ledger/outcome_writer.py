"""Background writer of outcomes to the table, batched into transactions."""

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
    from flamingoladder.ledger.written_rows import WrittenRows
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

MAX_BATCH_ROWS = 32
BATCH_DELAY_S = 0.05
ABSENT_REVISION = 0
RETRY_DELAY_S = 1.0


class WriteKind(Enum):
    """The effect on the row: ``OUTCOME`` stores the outcome, ``RELEASE`` deletes the claim."""

    OUTCOME = auto()
    RELEASE = auto()


class PendingWrite:
    """A write that the table has not confirmed.

    ``revision`` is the revision that the claim row must have. It is None for a ticket, and where
    the row must be read first because an answer was lost. ``write`` is set once the row can be
    written, with ``row``, which is None if it is to be deleted.
    """

    __slots__ = ("entry", "kind", "revision", "row", "write")

    def __init__(self, kind: WriteKind, entry: Entry) -> None:
        self.kind = kind
        self.entry = entry
        self.revision = entry.revision
        self.row: ClaimRow | None = None
        self.write: Write | None = None

    @property
    def is_ticket(self) -> bool:
        """Return whether the row is a ticket's.

        Only this incarnation writes the outcome, so no condition is needed.
        """
        return not self.entry.row_key.startswith(CLAIMS_PREFIX)


class OutcomeWriter:
    """Writes outcomes to the table, and deletes the rows of abandoned claims."""

    __slots__ = (
        "_answers",
        "_entries",
        "_flush_lock",
        "_pending",
        "_recorder",
        "_table",
        "_wake",
        "_written_rows",
    )

    def __init__(
        self,
        table: TableService,
        answers: AnswerStore,
        entries: Entries,
        written_rows: WrittenRows,
        recorder: Recorder,
    ) -> None:
        self._table = table
        self._answers = answers
        self._entries = entries
        self._written_rows = written_rows
        self._recorder = recorder
        self._pending: deque[PendingWrite] = deque()
        self._wake = asyncio.Event()
        self._flush_lock = asyncio.Lock()

    @property
    def idle(self) -> bool:
        """Return whether the table has confirmed all writes."""
        return not self._pending

    def write(self, entry: Entry) -> None:
        """Queue the entry's outcome for writing."""
        self._enqueue(PendingWrite(WriteKind.OUTCOME, entry))

    def release(self, entry: Entry) -> None:
        """Queue the deletion of the row, done only while it still holds the entry's claim."""
        self._enqueue(PendingWrite(WriteKind.RELEASE, entry))

    async def serve(self) -> None:
        """Write pending outcomes in batches, for as long as the host runs."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            if not await self.flush():
                await asyncio.sleep(RETRY_DELAY_S)

    async def flush(self) -> bool:
        """Write everything pending; return False as soon as the platform fails."""
        async with self._flush_lock:
            while self._pending:
                size = min(MAX_BATCH_ROWS, len(self._pending))
                if not await self._flush_batch([self._pending.popleft() for _ in range(size)]):
                    return False
            self._wake.clear()
            return True

    def _enqueue(self, pending: PendingWrite) -> None:
        self._pending.append(pending)
        self._wake.set()

    async def _flush_batch(self, batch: list[PendingWrite]) -> bool:
        """Write the batch, and queue again what failed, or the whole batch when cancelled.

        Failed writes go to the end of the queue, so that one bad write delays no others.
        """
        remaining = batch
        try:
            remaining = await self._write_batch(batch)
        finally:
            self._pending.extend(remaining)
        return not remaining

    async def _write_batch(self, batch: Sequence[PendingWrite]) -> list[PendingWrite]:
        """Write the batch, and return the writes to retry after a failure of the platform."""
        remaining = [each for each in batch if not await self._prepare(each)]
        ready = [each for each in batch if each.write is not None]
        try:
            if await self._write_together(ready):
                return remaining
        except (OutcomeUnknownError, PlatformRefusedError) as error:
            self._recorder.record("ledger.write_unknown", rows=len(ready), error=error)
        except PlatformUnavailableError as error:
            self._recorder.record("ledger.write_failed", rows=len(ready), error=error)
            return remaining + ready
        return remaining + [each for each in ready if not await self._write_singly(each)]

    async def _prepare(self, pending: PendingWrite) -> bool:
        """Store a large answer and build the row; return False if the object store failed."""
        if pending.write is not None:
            return True
        try:
            pending.row = await self._build_row(pending)
        except PlatformError as error:
            self._recorder.record("ledger.answer_failed", error=error)
            return False
        value = None if pending.row is None else encode(pending.row)
        pending.write = Write(pending.entry.row_key, value)
        return True

    async def _write_together(self, batch: Sequence[PendingWrite]) -> bool:
        """Write the whole batch in one transaction; return whether it committed.

        The table rejects a transaction with two writes of one key, so such a batch is not tried.

        :raises PlatformError: if the table did not answer, or refused the transaction.
        """
        if len({each.entry.row_key for each in batch}) < len(batch):
            return False
        if any(not each.is_ticket and each.revision is None for each in batch):
            return False
        if any(not each.is_ticket and each.entry.era != self._table.era for each in batch):
            return False
        conditions = [
            Condition(each.entry.row_key, each.revision)
            for each in batch
            if each.revision is not None
        ]
        writes = [each.write for each in batch if each.write is not None]
        commit = await self._table.transact(conditions, writes, TABLE_TIMEOUT_S)
        if commit.committed:
            self._confirm(batch)
        return commit.committed

    async def _write_singly(self, pending: PendingWrite) -> bool:
        """Write one row after reading it, as an earlier write may have taken effect unconfirmed."""
        try:
            while not await self._try_write(pending):
                continue
        except PlatformError as error:
            self._recorder.record("ledger.write_failed", rows=1, error=error)
            pending.revision = None
            return False
        self._confirm([pending])
        return True

    async def _try_write(self, pending: PendingWrite) -> bool:
        """Try one write; return whether nothing is left to write.

        Model guard ``release_is_conditional``.

        :raises PlatformError: if the table did not answer.
        """
        assert pending.write is not None
        conditions = []
        if not pending.is_ticket:
            row = await self._table.get(pending.entry.row_key, TABLE_TIMEOUT_S)
            if row is not None and not self._is_claim_of(pending.entry, row.value):
                return True
            if row is None and pending.kind is WriteKind.RELEASE:
                return True
            # The claim of a request that ran is absent only if the store lost it.
            revision = ABSENT_REVISION if row is None else row.revision
            conditions = [Condition(pending.entry.row_key, revision)]
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

    async def _build_row(self, pending: PendingWrite) -> ClaimRow | None:
        """Return the row to write, or None to delete it."""
        entry = pending.entry
        if pending.kind is WriteKind.RELEASE:
            return None
        assert entry.cached_outcome is not None
        return ClaimRow(
            host=self._recorder.host,
            incarnation=self._recorder.incarnation,
            attempt=entry.attempt,
            digest=entry.digest,
            state=ClaimState.DONE,
            outcome=await self._answers.store(entry.cached_outcome),
        )

    def _confirm(self, batch: Sequence[PendingWrite]) -> None:
        now = asyncio.get_running_loop().time()
        for pending in batch:
            if pending.row is None:
                self._written_rows.remove_claim(pending.entry.row_key, pending.entry.attempt)
            else:
                self._written_rows.add(pending.entry.row_key, pending.row, now)
            if pending.kind is WriteKind.OUTCOME:
                self._entries.mark_written(pending.entry, now)
