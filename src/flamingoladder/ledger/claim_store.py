"""Claims of callers' own idempotency keys, held as rows of the shared table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.exceptions import KeyInDoubtError
from flamingoladder.ledger.messages import ClaimStatus
from flamingoladder.ledger.resolutions import Claimable
from flamingoladder.ledger.resolutions import KnownOutcome
from flamingoladder.ledger.resolutions import OwnClaim
from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.row_reader import remaining_s
from flamingoladder.ledger.row_reader import table_timeout_s
from flamingoladder.ledger.rows import ClaimRow
from flamingoladder.ledger.rows import ClaimState
from flamingoladder.ledger.rows import decode_claim
from flamingoladder.ledger.rows import encode
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.ledger.answer_store import AnswerStore
    from flamingoladder.ledger.claim_queries import ClaimQueries
    from flamingoladder.ledger.entries import Entry
    from flamingoladder.ledger.era_recovery import EraRecovery
    from flamingoladder.ledger.resolutions import Resolution
    from flamingoladder.ledger.row_reader import RowReader
    from flamingoladder.ledger.written_rows import WrittenRows
    from flamingoladder.members.member import Member
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService
    from flamingoladder.verdict import Outcome

ABSENT_REVISION = 0
MAX_UNANSWERED_QUERIES = 2


class ClaimStore:
    """Claim rows in the table: claims keys, and resolves keys that another attempt has claimed."""

    __slots__ = (
        "_answers",
        "_claim_queries",
        "_own",
        "_reader",
        "_recovery",
        "_table",
        "_written_rows",
    )

    def __init__(
        self,
        table: TableService,
        reader: RowReader,
        answers: AnswerStore,
        claim_queries: ClaimQueries,
        own: Member,
        written_rows: WrittenRows,
        recovery: EraRecovery,
    ) -> None:
        self._table = table
        self._reader = reader
        self._answers = answers
        self._claim_queries = claim_queries
        self._own = own
        self._written_rows = written_rows
        self._recovery = recovery

    async def claim(self, entry: Entry, request: CallerRequest) -> Outcome | None:
        """Return None once the key is claimed, or the outcome of the request that holds it.

        If the answer to the conditional write is lost, the row is read to see which claim it holds.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline passed before the row was read.
        :raises KeyInDoubtError: if the row may be lost, but the caller declares the key fresh.
        """
        revision = ABSENT_REVISION
        await self._wait_until_started(request)
        if self._recovery.is_in_doubt:
            resolution = await self._resolve_claim(entry, request)
            if isinstance(resolution, KnownOutcome):
                return resolution.outcome
            revision = resolution.revision
        while not await self._write_claim(entry, revision, request.deadline):
            resolution = await self._resolve_claim(entry, request)
            if isinstance(resolution, KnownOutcome):
                return resolution.outcome
            if isinstance(resolution, OwnClaim):
                self._mark_claimed(entry, resolution.revision)
                self._remember(entry.row_key, self._own_claim(entry))
                break
            revision = resolution.revision
        # The answer to the write may have been the first of another era.
        if self._recovery.is_in_doubt:
            return _lost_row_in_doubt(request)
        return None

    async def _wait_until_started(self, request: CallerRequest) -> None:
        deadline = request.deadline
        if request.fresh_key:
            # A ticket can replace the key, so its caller need not wait longer.
            deadline = min(deadline, asyncio.get_running_loop().time() + TABLE_TIMEOUT_S)
        await self._recovery.wait_until_started(deadline)

    async def _resolve_claim(self, entry: Entry, request: CallerRequest) -> Resolution:
        resolution = await self._resolve_row(
            entry.row_key, request.digest, request.deadline, entry.attempt
        )
        if self._may_be_lost(resolution):
            return KnownOutcome(_lost_row_in_doubt(request))
        return resolution

    async def resolve(self, row_key: str, digest: str | None, deadline: float) -> Resolution:
        """Return whether a request with ``digest`` may claim the row, or the row's outcome.

        A ``digest`` of None matches any request. While the store may have lost rows, neither an
        absent row nor a claim that was given up shows that a key is free, and a closed row may
        stand in place of an outcome.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline passed before the row was read.
        """
        resolution = await self._resolve_row(row_key, digest, deadline, None)
        if self._may_be_lost(resolution):
            return KnownOutcome(refusals.lost_row_in_doubt())
        return resolution

    def _may_be_lost(self, resolution: Resolution) -> bool:
        """Return whether an outcome may have stood in the row before the store lost it."""
        if not self._recovery.is_in_doubt:
            return False
        return isinstance(resolution, Claimable) or resolution == KnownOutcome(
            refusals.key_closed()
        )

    async def _resolve_row(
        self, row_key: str, digest: str | None, deadline: float, attempt: int | None
    ) -> Resolution:
        """Resolve the row as it is; ``attempt`` is this host's own at the claim, if it made one.

        A revision of an earlier era may be that of another row now. Model guard
        ``era_of_found_row``.
        """
        while True:
            row = await self._reader.get(row_key, deadline)
            if row is None:
                return Claimable(ABSENT_REVISION)
            era = self._table.era
            resolution = await self._resolve_found(row, digest, deadline, attempt)
            if self._table.era == era or not isinstance(resolution, Claimable):
                return resolution

    async def _resolve_found(
        self, row: Row, digest: str | None, deadline: float, attempt: int | None
    ) -> Resolution:
        claim = decode_claim(row.value)
        if attempt is not None and self._is_own(claim, attempt):
            return OwnClaim(row.revision)
        outcome = await self._outcome_in_row(claim, digest)
        if outcome is not None:
            return KnownOutcome(outcome)
        try:
            return await self._resolve_with_holder(row, claim, digest, deadline)
        except (DeadlinePassedError, PlatformUnavailableError):
            return KnownOutcome(refusals.in_progress())

    async def _resolve_with_holder(
        self, row: Row, claim: ClaimRow, digest: str | None, deadline: float
    ) -> Resolution:
        """Resolve a claim that has no outcome yet by querying its holder.

        A holder that does not reply keeps its claim. Model guard ``takeover_on_word_only``.
        """
        unanswered = 0
        while unanswered < MAX_UNANSWERED_QUERIES:
            reply = await self._claim_queries.query(row.key, claim, remaining_s(deadline))
            if reply is None or reply.status is ClaimStatus.UNKNOWN:
                if await self._has_shut_down(claim, deadline):
                    return Claimable(row.revision)
                # UNKNOWN is final, so it ends the queries; a missing reply may be a lost message.
                unanswered += MAX_UNANSWERED_QUERIES if reply else 1
            elif reply.status is ClaimStatus.NEVER_RUN:
                return Claimable(row.revision)
            elif reply.outcome is not None:
                return KnownOutcome(reply.outcome.as_outcome())
        return KnownOutcome(await self._reread_outcome(row.key, digest, deadline))

    async def close_key(self, row_key: str, deadline: float) -> Outcome:
        """Return the outcome of the key's request; a key that has not run is closed first.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline passed before the row was read.
        """
        await self._recovery.wait_until_started(deadline)
        closed = self._claim_row(0, "", ClaimState.CLOSED)
        while True:
            resolution = await self.resolve(row_key, None, deadline)
            if isinstance(resolution, KnownOutcome):
                if resolution.outcome == refusals.key_closed():
                    # An answer to a write may have been lost, so the writer may not know of it.
                    self._remember(row_key, closed)
                return resolution.outcome
            try:
                is_closed = await self._write_row(row_key, resolution.revision, closed, deadline)
            except OutcomeUnknownError:
                continue
            if is_closed and self._recovery.is_in_doubt:
                return refusals.lost_row_in_doubt()
            if is_closed:
                return refusals.key_closed()

    async def _reread_outcome(self, row_key: str, digest: str | None, deadline: float) -> Outcome:
        """Return the outcome if the holder wrote it before it stopped replying."""
        row = await self._reader.get(row_key, deadline)
        if row is None:
            return refusals.owner_unreachable()
        outcome = await self._outcome_in_row(decode_claim(row.value), digest)
        return outcome or refusals.owner_unreachable()

    async def _outcome_in_row(self, claim: ClaimRow, digest: str | None) -> Outcome | None:
        """Return the row's outcome, if it has one; model guard ``closed_key_stays_closed``."""
        if claim.state is ClaimState.CLOSED:
            return refusals.key_closed()
        if digest is not None and claim.digest != digest:
            return refusals.key_reused()
        return await self._answers.fetch(claim.outcome) if claim.outcome else None

    def _is_own(self, claim: ClaimRow, attempt: int) -> bool:
        own = (self._own.host, self._own.incarnation, attempt)
        return (claim.host, claim.incarnation, claim.attempt) == own

    async def _has_shut_down(self, claim: ClaimRow, deadline: float) -> bool:
        """Return whether the claim's incarnation shut down gracefully.

        It wrote all its outcomes first, so a row that is still claimed was never dispatched.
        """
        return await self._reader.shutdown_row(claim.host, claim.incarnation, deadline) is not None

    async def _write_claim(self, entry: Entry, revision: int, deadline: float) -> bool:
        """Write the claim if the row is at ``revision``; return whether that is confirmed.

        :raises PlatformUnavailableError: if the write was not sent.
        :raises DeadlinePassedError: if there was no time left to send it.
        """
        claim = self._own_claim(entry)
        try:
            claimed_at = await self._write_row(entry.row_key, revision, claim, deadline)
        except OutcomeUnknownError:
            entry.claim_in_doubt = True
            return False
        if claimed_at is None:
            return False
        self._mark_claimed(entry, claimed_at)
        return True

    def _mark_claimed(self, entry: Entry, revision: int) -> None:
        entry.revision = revision
        entry.era = self._table.era
        entry.state = EntryState.CLAIMED

    def _own_claim(self, entry: Entry) -> ClaimRow:
        return self._claim_row(entry.attempt, entry.digest, ClaimState.CLAIMED)

    def _claim_row(self, attempt: int, digest: str, state: ClaimState) -> ClaimRow:
        return ClaimRow(self._own.host, self._own.incarnation, attempt, digest, state)

    async def _write_row(
        self, row_key: str, revision: int, claim: ClaimRow, deadline: float
    ) -> int | None:
        """Return the row's new revision, or None if it was not at ``revision``.

        Model guard ``claim_is_conditional``.
        """
        commit = await self._table.transact(
            [Condition(row_key, revision)],
            [Write(row_key, encode(claim))],
            table_timeout_s(deadline),
        )
        if not commit.committed:
            return None
        self._remember(row_key, claim)
        return commit.revision

    def _remember(self, row_key: str, row: ClaimRow) -> None:
        """Remember a row in the table, unless it may stand in place of one that was lost."""
        if not self._recovery.is_in_doubt:
            self._written_rows.add(row_key, row, asyncio.get_running_loop().time())


def _lost_row_in_doubt(request: CallerRequest) -> Outcome:
    """Return the refusal of a claim whose row may be lost.

    :raises KeyInDoubtError: if the caller declares the key fresh, so that a ticket can replace it.
    """
    if request.fresh_key:
        raise KeyInDoubtError
    return refusals.lost_row_in_doubt()
