"""Claims of callers' own idempotency keys, held as rows of the shared table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.messages import ClaimStatus
from flamingoladder.ledger.resolutions import Claimable
from flamingoladder.ledger.resolutions import KnownOutcome
from flamingoladder.ledger.resolutions import OwnClaim
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
        """
        revision = ABSENT_REVISION
        if not request.fresh_key:
            await self._recovery.wait_until_started(request.deadline)
        if self._recovery.is_in_doubt and not request.fresh_key:
            resolution = await self._resolve_claim(entry, request)
            if isinstance(resolution, KnownOutcome):
                return resolution.outcome
            revision = resolution.revision
        while not await self._write_claim(entry, revision, request.deadline):
            resolution = await self._resolve_claim(entry, request)
            if isinstance(resolution, KnownOutcome):
                return resolution.outcome
            if isinstance(resolution, OwnClaim):
                _mark_claimed(entry, resolution.revision)
                break
            revision = resolution.revision
        # The answer to the write may have been the first of another era.
        if self._recovery.is_in_doubt and not request.fresh_key:
            return refusals.lost_row_in_doubt()
        return None

    async def _resolve_claim(self, entry: Entry, request: CallerRequest) -> Resolution:
        return await self.resolve(
            entry.row_key,
            request.digest,
            request.deadline,
            entry.attempt,
            fresh_key=request.fresh_key,
        )

    async def resolve(
        self,
        row_key: str,
        digest: str | None,
        deadline: float,
        attempt: int | None = None,
        *,
        fresh_key: bool = False,
    ) -> Resolution:
        """Return whether a request with ``digest`` may claim the row, or the row's outcome.

        A ``digest`` of None matches any request. ``attempt`` is this host's own attempt at the
        claim, if it has made one. While the store may have lost rows, neither an absent row nor a
        claim that was given up shows that a key is free, unless it is a ``fresh_key``, which no
        earlier request had.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline passed before the row was read.
        """
        resolution = await self._resolve_row(row_key, digest, deadline, attempt)
        is_claimable = isinstance(resolution, Claimable)
        if is_claimable and self._recovery.is_in_doubt and not fresh_key:
            return KnownOutcome(refusals.lost_row_in_doubt())
        return resolution

    async def _resolve_row(
        self, row_key: str, digest: str | None, deadline: float, attempt: int | None
    ) -> Resolution:
        row = await self._reader.get(row_key, deadline)
        if row is None:
            return Claimable(ABSENT_REVISION)
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
        while True:
            resolution = await self.resolve(row_key, None, deadline)
            if isinstance(resolution, KnownOutcome):
                return resolution.outcome
            closed = self._claim_row(0, "", ClaimState.CLOSED)
            try:
                if await self._write_row(row_key, resolution.revision, closed, deadline):
                    return refusals.key_closed()
            except OutcomeUnknownError:
                continue

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
        claim = self._claim_row(entry.attempt, entry.digest, ClaimState.CLAIMED)
        try:
            claimed_at = await self._write_row(entry.row_key, revision, claim, deadline)
        except OutcomeUnknownError:
            entry.claim_in_doubt = True
            return False
        if claimed_at is None:
            return False
        _mark_claimed(entry, claimed_at)
        return True

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
        self._written_rows.add(row_key, claim, asyncio.get_running_loop().time())
        return commit.revision


def _mark_claimed(entry: Entry, revision: int) -> None:
    entry.revision = revision
    entry.state = EntryState.CLAIMED
