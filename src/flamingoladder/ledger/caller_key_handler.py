"""Execution of requests that carry the caller's own idempotency key."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.entries import Entry
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.exceptions import KeyInDoubtError
from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import claim_row_key
from flamingoladder.ledger.rows import workspace_name
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.verdict import Reason

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import RequestRunner
    from flamingoladder.ledger.claim_store import ClaimStore
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.executor import Executor
    from flamingoladder.ledger.tickets import TicketIssuer
    from flamingoladder.verdict import Outcome

CLAIM_PAUSE_S = 1.0


class CallerKeyHandler:
    """Handler of requests with a caller's own key: claims the key, then dispatches the request.

    After the table has failed a claim, new claims are refused without a table call for
    ``CLAIM_PAUSE_S`` seconds.
    """

    __slots__ = (
        "_attempts",
        "_claim_store",
        "_claims_paused_until",
        "_entries",
        "_executor",
        "_issuer",
    )

    def __init__(
        self, entries: Entries, claim_store: ClaimStore, executor: Executor, issuer: TicketIssuer
    ) -> None:
        self._entries = entries
        self._claim_store = claim_store
        self._executor = executor
        self._issuer = issuer
        self._attempts = count(1)
        self._claims_paused_until = 0.0

    async def run_once(self, request: CallerRequest, key: str, run: RequestRunner) -> Outcome:
        """Run the request if its key can be claimed; otherwise return the outcome for the key."""
        row_key = claim_row_key(workspace_name(request.workspace), key)
        entry = self._entries.by_row_key.get(row_key)
        if entry is not None:
            return await self._executor.join(entry, request) or refusals.in_progress()
        reason = self._refusal_reason(asyncio.get_running_loop().time())
        if reason is not None:
            return self._unclaimed_refusal(request, reason)
        entry = Entry(row_key, next(self._attempts), request.digest, retain_until=0.0)
        self._executor.start(entry, self._claim_and_run(entry, request, run))
        outcome = await self._executor.join(entry, request)
        if entry.claim_failure is not None:
            return self._unclaimed_refusal(request, entry.claim_failure)
        return outcome or refusals.in_progress()

    async def outcome_of(self, workspace: str, key: str, deadline: float) -> Outcome:
        """Return the outcome of the key's request; a key that has not run is closed first."""
        try:
            return await self._claim_store.close_key(claim_row_key(workspace, key), deadline)
        except (DeadlinePassedError, PlatformUnavailableError):
            return refusals.store_unavailable()

    def _refusal_reason(self, now: float) -> Reason | None:
        if now < self._claims_paused_until:
            return Reason.CLAIM_STORE_UNAVAILABLE
        return self._executor.rejection_reason

    async def _claim_and_run(
        self, entry: Entry, request: CallerRequest, run: RequestRunner
    ) -> Outcome:
        started_at = asyncio.get_running_loop().time()
        try:
            outcome = await self._claim_store.claim(entry, request)
        except DeadlinePassedError:
            return _abandon(entry, Reason.DEADLINE_PASSED)
        except KeyInDoubtError:
            return _abandon(entry, Reason.CLAIM_STORE_UNAVAILABLE)
        except PlatformUnavailableError:
            self._pause_claims(request.deadline - started_at)
            return _abandon(entry, Reason.CLAIM_STORE_UNAVAILABLE)
        if outcome is not None:
            return outcome
        return await self._executor.dispatch(entry, request, run)

    def _pause_claims(self, allowed_s: float) -> None:
        """Pause claims, unless the deadline left the table less than its usual timeout."""
        if allowed_s >= TABLE_TIMEOUT_S:
            self._claims_paused_until = asyncio.get_running_loop().time() + CLAIM_PAUSE_S

    def _unclaimed_refusal(self, request: CallerRequest, reason: Reason) -> Outcome:
        now = asyncio.get_running_loop().time()
        ticket = self._issuer.issue(workspace_name(request.workspace), now)
        return refusals.unclaimed(reason, "this request was not claimed", request.fresh_key, ticket)


def _abandon(entry: Entry, reason: Reason) -> Outcome:
    """Record why the claim failed, and return the outcome for repeats that joined the entry.

    Only the first request's caller declared the key fresh, so joined repeats get
    ``may_have_run``. Model guard ``fresh_word_is_its_own``.
    """
    entry.claim_failure = reason
    return refusals.may_have_run(reason, refusals.EARLIER_REQUEST_IN_DOUBT)
