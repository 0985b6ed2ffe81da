"""Claim rows: a caller's own idempotency key, claimed in the table before dispatch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.messages import ClaimStatus
from flamingoladder.ledger.resolutions import Claimable
from flamingoladder.ledger.resolutions import KnownOutcome
from flamingoladder.ledger.resolutions import OwnClaim
from flamingoladder.ledger.row_reader import left_until
from flamingoladder.ledger.row_reader import timeout_until
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
    from flamingoladder.ledger.resolutions import Resolution
    from flamingoladder.ledger.row_reader import RowReader
    from flamingoladder.members.state import Member
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService
    from flamingoladder.verdict import Outcome

ABSENT = 0
SILENT_ASKS = 2


class ClaimStore:
    """Claims keys by rows, and settles what the row of another attempt means."""

    __slots__ = ("_answers", "_holders", "_own", "_reader", "_table")

    def __init__(
        self,
        table: TableService,
        reader: RowReader,
        answers: AnswerStore,
        holders: ClaimQueries,
        own: Member,
    ) -> None:
        self._table = table
        self._reader = reader
        self._answers = answers
        self._holders = holders
        self._own = own

    async def claim(self, entry: Entry, request: CallerRequest) -> Outcome | None:
        """Return None once the entry is held, or what is known of the key's other request.

        A claim whose answer was lost is resolved by reading.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline passed before anything was known.
        """
        revision = ABSENT
        while not await self._written(entry, revision, request.deadline):
            decision = await self.settle(
                entry.name, request.digest, request.deadline, entry.attempt
            )
            if isinstance(decision, KnownOutcome):
                return decision.outcome
            if isinstance(decision, OwnClaim):
                _hold(entry, decision.revision)
                return None
            revision = decision.revision
        return None

    async def settle(
        self, name: str, digest: str | None, deadline: float, attempt: int | None = None
    ) -> Resolution:
        """Return what the row ``name`` means for a request with ``digest``; None fits any.

        ``attempt`` is the asker's own attempt, if it has made one.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline passed before anything was known.
        """
        row = await self._reader.get(name, deadline)
        if row is None:
            return Claimable(ABSENT)
        claim = decode_claim(row.value)
        if attempt is not None and self._is_own(claim, attempt):
            return OwnClaim(row.revision)
        outcome = await self._outcome_in(claim, digest)
        if outcome is not None:
            return KnownOutcome(outcome)
        try:
            return await self._by_holder(row, claim, digest, deadline)
        except (DeadlinePassedError, PlatformUnavailableError):
            return KnownOutcome(refusals.in_progress())

    async def _by_holder(
        self, row: Row, claim: ClaimRow, digest: str | None, deadline: float
    ) -> Resolution:
        """Return what the holder of an undecided claim says of it.

        Silence never lets the key be taken: guard ``takeover_on_word_only``.
        """
        silent = 0
        while silent < SILENT_ASKS:
            reply = await self._holders.ask(row.key, claim, left_until(deadline))
            if reply is None or reply.word is ClaimStatus.GONE:
                if await self._has_closed(claim, deadline):
                    return Claimable(row.revision)
                silent += SILENT_ASKS if reply else 1
            elif reply.word is ClaimStatus.NEVER:
                return Claimable(row.revision)
            elif reply.outcome is not None:
                return KnownOutcome(reply.outcome.as_outcome())
        return KnownOutcome(await self._last_look(row.key, digest, deadline))

    async def close_key(self, name: str, deadline: float) -> Outcome:
        """Return what is known of the key; one that has not run is closed for good first.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline passed before anything was known.
        """
        while True:
            decision = await self.settle(name, None, deadline)
            if isinstance(decision, KnownOutcome):
                return decision.outcome
            closed = self._row(0, "", ClaimState.CLOSED)
            try:
                if await self._transact(name, decision.revision, closed, deadline):
                    return refusals.key_closed()
            except OutcomeUnknownError:
                continue

    async def _last_look(self, name: str, digest: str | None, deadline: float) -> Outcome:
        """Return the outcome if the holder wrote it before it became silent."""
        row = await self._reader.get(name, deadline)
        if row is None:
            return refusals.owner_unreachable()
        outcome = await self._outcome_in(decode_claim(row.value), digest)
        return outcome or refusals.owner_unreachable()

    async def _outcome_in(self, claim: ClaimRow, digest: str | None) -> Outcome | None:
        """Return the outcome that a row gives; guard ``closed_key_stays_closed``."""
        if claim.state is ClaimState.CLOSED:
            return refusals.key_closed()
        if digest is not None and claim.digest != digest:
            return refusals.key_reused()
        return await self._answers.fetched(claim.outcome) if claim.outcome else None

    def _is_own(self, claim: ClaimRow, attempt: int) -> bool:
        own = (self._own.host, self._own.incarnation, attempt)
        return (claim.host, claim.incarnation, claim.attempt) == own

    async def _has_closed(self, claim: ClaimRow, deadline: float) -> bool:
        """Return whether the claim's incarnation ended gracefully, after all its outcomes.

        Then a row that is still claimed is one that was never dispatched.
        """
        return await self._reader.closing(claim.host, claim.incarnation, deadline) is not None

    async def _written(self, entry: Entry, revision: int, deadline: float) -> bool:
        """Write the claim if the row is at ``revision``; return whether it is certainly held.

        :raises PlatformUnavailableError: if the write was not sent.
        :raises DeadlinePassedError: if there was no time left to send it.
        """
        claim = self._row(entry.attempt, entry.digest, ClaimState.CLAIMED)
        try:
            held_at = await self._transact(entry.name, revision, claim, deadline)
        except OutcomeUnknownError:
            entry.claim_in_doubt = True
            return False
        if held_at is None:
            return False
        _hold(entry, held_at)
        return True

    def _row(self, attempt: int, digest: str, state: ClaimState) -> ClaimRow:
        return ClaimRow(self._own.host, self._own.incarnation, attempt, digest, state)

    async def _transact(
        self, name: str, revision: int, claim: ClaimRow, deadline: float
    ) -> int | None:
        """Return the row's new revision, or None if it was not at ``revision``.

        Guard ``claim_is_conditional``.
        """
        commit = await self._table.transact(
            [Condition(name, revision)], [Write(name, encode(claim))], timeout_until(deadline)
        )
        return commit.revision if commit.committed else None


def _hold(entry: Entry, revision: int) -> None:
    entry.revision = revision
    entry.state = EntryState.HELD
