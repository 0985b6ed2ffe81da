"""Runs requests under tickets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.entries import Entry
from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.issued_tickets import TicketStatus
from flamingoladder.ledger.resolutions import KnownOutcome
from flamingoladder.ledger.resolutions import UnusedTicket
from flamingoladder.ledger.rows import ticket_row_key
from flamingoladder.ledger.rows import workspace_name
from flamingoladder.ledger.tickets import parse
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.verdict import Reason

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import Run
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.executor import Executor
    from flamingoladder.ledger.issued_tickets import IssuedTickets
    from flamingoladder.ledger.ticket_resolver import TicketResolver
    from flamingoladder.ledger.tickets import Ticket
    from flamingoladder.verdict import Outcome


class TicketHandler:
    """Runs the tickets of this incarnation, and settles those of others."""

    __slots__ = ("_entries", "_executor", "_issued", "_owners", "_state")

    def __init__(
        self,
        entries: Entries,
        issued: IssuedTickets,
        owners: TicketResolver,
        executor: Executor,
        state: StateInForce,
    ) -> None:
        self._entries = entries
        self._issued = issued
        self._owners = owners
        self._executor = executor
        self._state = state

    async def run_once(self, request: CallerRequest, text: str, run: Run) -> Outcome:
        """Run the request if this incarnation issued the ticket and it is unused.

        Guards ``only_issuer_runs`` and ``one_entry_per_ticket``.
        """
        ticket = parse(text)
        if ticket is None:
            return refusals.not_run(Reason.TICKET_INVALID, "the ticket can't be read")
        if not self._issued.issuer.is_own(ticket):
            return await self._settled(request, text, ticket)
        name = ticket_row_key(workspace_name(request.workspace), text)
        entry = self._entries.by_name.get(name)
        if entry is None:
            return await self._first_use(request, name, text, ticket, run)
        return await self._joined(entry, request, text, ticket)

    async def outcome_of(self, workspace: str, text: str, deadline: float) -> Outcome:
        """Return what is known of the ticket; an unused one is closed for good first."""
        ticket = parse(text)
        if ticket is None:
            return refusals.not_run(Reason.TICKET_INVALID, "the ticket can't be read")
        try:
            decision = await self._owners.settle(
                workspace, text, ticket, None, deadline, close=True
            )
        except (DeadlinePassedError, PlatformUnavailableError):
            return refusals.store_unavailable()
        if isinstance(decision, KnownOutcome):
            return decision.outcome
        return refusals.key_closed() if decision else refusals.owner_unreachable()

    async def _first_use(
        self, request: CallerRequest, name: str, text: str, ticket: Ticket, run: Run
    ) -> Outcome:
        now = asyncio.get_running_loop().time()
        status = self._issued.status(workspace_name(request.workspace), text, ticket, now)
        if status is TicketStatus.FORGOTTEN:
            return await self._settled(request, text, ticket)
        if status is not TicketStatus.UNUSED:
            return refusals.not_run(Reason.TICKET_INVALID, f"the ticket is {status.name.lower()}")
        reason = self._executor.full
        if reason is not None:
            return refusals.not_run(reason, "this host takes no new request")
        entry = Entry(name, 0, request.digest, ticket.remembered_until)
        entry.state = EntryState.HELD
        self._executor.start(entry, self._executor.dispatch(entry, request, run))
        return await self._joined(entry, request, text, ticket)

    async def _joined(
        self, entry: Entry, request: CallerRequest, text: str, ticket: Ticket
    ) -> Outcome:
        outcome = await self._executor.join(entry, request)
        return outcome or await self._settled(request, text, ticket)

    async def _settled(self, request: CallerRequest, text: str, ticket: Ticket) -> Outcome:
        """Return what is known of a ticket that this host does not run."""
        workspace = workspace_name(request.workspace)
        deadline = request.deadline
        try:
            decision = await self._owners.settle(
                workspace, text, ticket, request.digest, deadline, close=False
            )
        except (DeadlinePassedError, PlatformUnavailableError):
            return self._unknown(request, ticket, Reason.CLAIM_STORE_UNAVAILABLE)
        if isinstance(decision, KnownOutcome):
            return decision.outcome
        if isinstance(decision, UnusedTicket):
            return self._unused(decision, workspace, ticket)
        return self._unknown(request, ticket, Reason.CLAIM_OWNER_UNREACHABLE)

    def _unused(self, decision: UnusedTicket, workspace: str, ticket: Ticket) -> Outcome:
        if not decision.live:
            return refusals.issuer_closed(self._fresh_ticket(workspace))
        state = self._state.current
        issuer = state.members_by_host.get(ticket.host) if state else None
        return refusals.at_issuer(issuer.caller_url if issuer else None)

    def _unknown(self, request: CallerRequest, ticket: Ticket, reason: Reason) -> Outcome:
        if self._issued.issuer.is_own(ticket):
            return refusals.may_have_run(
                reason, "this host has dispatched the ticket, or forgotten"
            )
        fresh = self._fresh_ticket(workspace_name(request.workspace))
        detail = "the ticket's issuer can't be asked"
        return refusals.unclaimed(reason, detail, request.fresh_key, fresh)

    def _fresh_ticket(self, workspace: str) -> str:
        return self._issued.issuer.issue(workspace, asyncio.get_running_loop().time())
