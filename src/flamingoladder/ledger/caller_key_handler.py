"""Runs requests under callers' own idempotency keys."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.entries import Entry
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import claim_row_key
from flamingoladder.ledger.rows import workspace_name
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.verdict import Reason

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import Run
    from flamingoladder.ledger.claim_store import ClaimStore
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.executor import Executor
    from flamingoladder.ledger.tickets import TicketIssuer
    from flamingoladder.verdict import Outcome

STORE_PAUSE_S = 1.0


class CallerKeyHandler:
    """Claims a key before its request is dispatched.

    After the table has failed a claim, claims are refused at once for ``STORE_PAUSE_S`` seconds.
    """

    __slots__ = ("_attempts", "_claims", "_entries", "_executor", "_issuer", "_store_out_until")

    def __init__(
        self, entries: Entries, claims: ClaimStore, executor: Executor, issuer: TicketIssuer
    ) -> None:
        self._entries = entries
        self._claims = claims
        self._executor = executor
        self._issuer = issuer
        self._attempts = count(1)
        self._store_out_until = 0.0

    async def run_once(self, request: CallerRequest, key: str, run: Run) -> Outcome:
        """Run the request if its key can be claimed, or return what is known of the key."""
        name = claim_row_key(workspace_name(request.workspace), key)
        entry = self._entries.by_name.get(name)
        if entry is not None:
            return await self._executor.join(entry, request) or refusals.in_progress()
        reason = self._refusal_reason(asyncio.get_running_loop().time())
        if reason is not None:
            return self._unclaimed(request, reason)
        entry = Entry(name, next(self._attempts), request.digest, remembered_until=0.0)
        self._executor.start(entry, self._claim_and_run(entry, request, run))
        outcome = await self._executor.join(entry, request)
        if entry.unclaimed is not None:
            return self._unclaimed(request, entry.unclaimed)
        return outcome or refusals.in_progress()

    async def outcome_of(self, workspace: str, key: str, deadline: float) -> Outcome:
        """Return what is known of the key; one that has not run is closed for good first."""
        try:
            return await self._claims.close_key(claim_row_key(workspace, key), deadline)
        except (DeadlinePassedError, PlatformUnavailableError):
            return refusals.store_unavailable()

    def _refusal_reason(self, now: float) -> Reason | None:
        if now < self._store_out_until:
            return Reason.CLAIM_STORE_UNAVAILABLE
        return self._executor.full

    async def _claim_and_run(self, entry: Entry, request: CallerRequest, run: Run) -> Outcome:
        began = asyncio.get_running_loop().time()
        try:
            outcome = await self._claims.claim(entry, request)
        except DeadlinePassedError:
            return _given_up(entry, Reason.DEADLINE_PASSED)
        except PlatformUnavailableError:
            self._note_store_out(request.deadline - began)
            return _given_up(entry, Reason.CLAIM_STORE_UNAVAILABLE)
        if outcome is not None:
            return outcome
        return await self._executor.dispatch(entry, request, run)

    def _note_store_out(self, allowed_s: float) -> None:
        """Pause claims, unless the table was given less than its usual time."""
        if allowed_s >= TABLE_TIMEOUT_S:
            self._store_out_until = asyncio.get_running_loop().time() + STORE_PAUSE_S

    def _unclaimed(self, request: CallerRequest, reason: Reason) -> Outcome:
        now = asyncio.get_running_loop().time()
        ticket = self._issuer.issue(workspace_name(request.workspace), now)
        return refusals.unclaimed(reason, "this request was not claimed", request.fresh_key, ticket)


def _given_up(entry: Entry, reason: Reason) -> Outcome:
    """Return the outcome for repeats that waited; guard ``fresh_word_is_its_own``."""
    entry.unclaimed = reason
    return refusals.may_have_run(reason, refusals.EARLIER_IN_DOUBT)
