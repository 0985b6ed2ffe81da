"""Claim rows: a caller's own idempotency key, claimed in the table before dispatch."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.decisions import Known
from flamingoladder.ledger.decisions import Own
from flamingoladder.ledger.decisions import Takeable
from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.messages import HolderWord
from flamingoladder.ledger.records import ClaimRow
from flamingoladder.ledger.records import ClaimState
from flamingoladder.ledger.records import closing_name
from flamingoladder.ledger.records import decode_claim
from flamingoladder.ledger.records import encode
from flamingoladder.platform.exceptions import OutcomeUnknownError
from flamingoladder.platform.exceptions import PlatformUnavailableError
from flamingoladder.platform.table import Condition
from flamingoladder.platform.table import Write

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.ledger.answers import AnswerStore
    from flamingoladder.ledger.decisions import Decision
    from flamingoladder.ledger.entries import Entry
    from flamingoladder.ledger.holders import Holders
    from flamingoladder.members.state import Member
    from flamingoladder.platform.table import Row
    from flamingoladder.platform.table import TableService
    from flamingoladder.verdict import Outcome

ABSENT = 0
TABLE_TIMEOUT_S = 1.0
READ_PAUSE_S = 0.05
SILENT_ASKS = 2


class Claims:
    """Claims keys by rows, and settles what the row of another attempt means."""

    __slots__ = ("_answers", "_holders", "_own", "_table")

    def __init__(
        self, table: TableService, answers: AnswerStore, holders: Holders, own: Member
    ) -> None:
        self._table = table
        self._answers = answers
        self._holders = holders
        self._own = own

    async def claim(self, entry: Entry, request: CallerRequest) -> Outcome | None:
        """Return None once the entry is held, or what is known of the key's other request.

        A claim whose answer was lost is resolved by reading.

        :raises PlatformUnavailableError: if the table can't tell inside the deadline.
        """
        revision = ABSENT
        while not await self._written(entry, revision, request.deadline):
            decision = await self.settle(
                entry.name, request.digest, request.deadline, entry.attempt
            )
            if isinstance(decision, Known):
                return decision.outcome
            if isinstance(decision, Own):
                _hold(entry, decision.revision)
                return None
            revision = decision.revision
        return None

    async def settle(
        self, name: str, digest: str | None, deadline: float, attempt: int | None = None
    ) -> Decision:
        """Return what the row ``name`` means for a request with ``digest``; None fits any.

        ``attempt`` is the asker's own attempt, if it has made one.

        :raises PlatformUnavailableError: if the table can't tell inside the deadline.
        """
        silent = 0
        while silent < SILENT_ASKS:
            row = await self._read(name, deadline)
            if row is None:
                return Takeable(ABSENT)
            claim = decode_claim(row.value)
            if attempt is not None and self._is_own(claim, attempt):
                return Own(row.revision)
            outcome = await self._outcome_in(claim, digest)
            if outcome is not None:
                return Known(outcome)
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                return Known(refusals.in_progress())
            reply = await self._holders.ask(name, claim, left_s)
            if reply is None or reply.word is HolderWord.GONE:
                if await self._has_closed(claim, deadline):
                    return Takeable(row.revision)
                silent += SILENT_ASKS if reply else 1
            elif reply.word is HolderWord.NEVER:
                return Takeable(row.revision)
            elif reply.outcome is not None:
                return Known(reply.outcome.as_outcome())
        return Known(await self._last_look(name, digest, deadline))

    async def _last_look(self, name: str, digest: str | None, deadline: float) -> Outcome:
        """Return the outcome if the holder wrote it before it became silent."""
        row = await self._read(name, deadline)
        if row is None:
            return refusals.owner_unreachable()
        outcome = await self._outcome_in(decode_claim(row.value), digest)
        return outcome or refusals.owner_unreachable()

    async def _outcome_in(self, claim: ClaimRow, digest: str | None) -> Outcome | None:
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
        return await self._read(closing_name(claim.host, claim.incarnation), deadline) is not None

    async def _written(self, entry: Entry, revision: int, deadline: float) -> bool:
        """Write the claim if the row is at ``revision``; return whether it is certainly held.

        :raises PlatformUnavailableError: if the write was not sent.
        """
        claim = ClaimRow(
            host=self._own.host,
            incarnation=self._own.incarnation,
            attempt=entry.attempt,
            digest=entry.digest,
            state=ClaimState.CLAIMED,
        )
        try:
            commit = await self._table.transact(
                [Condition(entry.name, revision)],
                [Write(entry.name, encode(claim))],
                _timeout_s(deadline),
            )
        except OutcomeUnknownError:
            entry.claim_in_doubt = True
            return False
        if commit.committed:
            _hold(entry, commit.revision)
        return commit.committed

    async def _read(self, name: str, deadline: float) -> Row | None:
        while True:
            try:
                return await self._table.get(name, _timeout_s(deadline))
            except PlatformUnavailableError:
                _timeout_s(deadline)
            await asyncio.sleep(READ_PAUSE_S)


def _hold(entry: Entry, revision: int) -> None:
    entry.revision = revision
    entry.state = EntryState.HELD


def _timeout_s(deadline: float) -> float:
    """Return the time for one call of the table.

    :raises PlatformUnavailableError: if the deadline has passed.
    """
    left_s = deadline - asyncio.get_running_loop().time()
    if left_s <= 0:
        raise PlatformUnavailableError("the deadline passed before the table answered")
    return min(left_s, TABLE_TIMEOUT_S)
