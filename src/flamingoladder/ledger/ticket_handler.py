"""Execution of requests that carry a ticket as idempotency key."""

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
from flamingoladder.ledger.tickets import parse_ticket
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.verdict import Reason

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import RequestRunner
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.executor import Executor
    from flamingoladder.ledger.issued_tickets import IssuedTickets
    from flamingoladder.ledger.ticket_resolver import TicketResolver
    from flamingoladder.ledger.tickets import Ticket
    from flamingoladder.verdict import Outcome


class TicketHandler:
    """Handler of requests with tickets: runs this incarnation's, and resolves those of others."""

    __slots__ = ("_entries", "_executor", "_issued_tickets", "_resolver", "_state")

    def __init__(
        self,
        entries: Entries,
        issued_tickets: IssuedTickets,
        resolver: TicketResolver,
        executor: Executor,
        state: StateInForce,
    ) -> None:
        self._entries = entries
        self._issued_tickets = issued_tickets
        self._resolver = resolver
        self._executor = executor
        self._state = state

    async def run_once(
        self, request: CallerRequest, ticket_text: str, run: RequestRunner
    ) -> Outcome:
        """Run the request if this incarnation issued the ticket and it is unused.

        Model guards ``only_issuer_runs`` and ``one_entry_per_ticket``.
        """
        ticket = parse_ticket(ticket_text)
        if ticket is None:
            return refusals.not_run(Reason.TICKET_INVALID, "the ticket can't be read")
        if not self._issued_tickets.issuer.is_own(ticket):
            return await self._resolve(request, ticket_text, ticket)
        row_key = ticket_row_key(workspace_name(request.workspace), ticket_text)
        entry = self._entries.by_row_key.get(row_key)
        if entry is None:
            return await self._first_use(request, row_key, ticket_text, ticket, run)
        return await self._join_entry(entry, request, ticket_text, ticket)

    async def outcome_of(self, workspace: str, ticket_text: str, deadline: float) -> Outcome:
        """Return the outcome of the ticket's request; an unused ticket is closed first."""
        ticket = parse_ticket(ticket_text)
        if ticket is None:
            return refusals.not_run(Reason.TICKET_INVALID, "the ticket can't be read")
        try:
            resolution = await self._resolver.resolve(
                workspace, ticket_text, ticket, None, deadline, close=True
            )
        except (DeadlinePassedError, PlatformUnavailableError):
            return refusals.store_unavailable()
        if isinstance(resolution, KnownOutcome):
            return resolution.outcome
        return refusals.key_closed() if resolution else refusals.owner_unreachable()

    async def _first_use(
        self,
        request: CallerRequest,
        row_key: str,
        ticket_text: str,
        ticket: Ticket,
        run: RequestRunner,
    ) -> Outcome:
        now = asyncio.get_running_loop().time()
        status = self._issued_tickets.status(
            workspace_name(request.workspace), ticket_text, ticket, now
        )
        if status is TicketStatus.FORGOTTEN:
            return await self._resolve(request, ticket_text, ticket)
        if status is not TicketStatus.UNUSED:
            return refusals.not_run(Reason.TICKET_INVALID, f"the ticket is {status.name.lower()}")
        reason = self._executor.rejection_reason
        if reason is not None:
            return refusals.not_run(reason, "this host takes no new request")
        entry = Entry(row_key, 0, request.digest, ticket.retain_until)
        entry.state = EntryState.CLAIMED
        self._executor.start(entry, self._executor.dispatch(entry, request, run))
        return await self._join_entry(entry, request, ticket_text, ticket)

    async def _join_entry(
        self, entry: Entry, request: CallerRequest, ticket_text: str, ticket: Ticket
    ) -> Outcome:
        outcome = await self._executor.join(entry, request)
        return outcome or await self._resolve(request, ticket_text, ticket)

    async def _resolve(self, request: CallerRequest, ticket_text: str, ticket: Ticket) -> Outcome:
        """Return the outcome, or a refusal, for a ticket that this host does not run now."""
        workspace = workspace_name(request.workspace)
        deadline = request.deadline
        try:
            resolution = await self._resolver.resolve(
                workspace, ticket_text, ticket, request.digest, deadline, close=False
            )
        except (DeadlinePassedError, PlatformUnavailableError):
            return self._unknown_refusal(request, ticket, Reason.CLAIM_STORE_UNAVAILABLE)
        if isinstance(resolution, KnownOutcome):
            return resolution.outcome
        if isinstance(resolution, UnusedTicket):
            return self._unused_refusal(resolution, workspace, ticket)
        return self._unknown_refusal(request, ticket, Reason.CLAIM_OWNER_UNREACHABLE)

    def _unused_refusal(self, resolution: UnusedTicket, workspace: str, ticket: Ticket) -> Outcome:
        if not resolution.issuer_running:
            return refusals.issuer_shut_down(self._fresh_ticket(workspace))
        state = self._state.current
        issuer = state.members_by_host.get(ticket.host) if state else None
        return refusals.issued_elsewhere(issuer.caller_url if issuer else None)

    def _unknown_refusal(self, request: CallerRequest, ticket: Ticket, reason: Reason) -> Outcome:
        if self._issued_tickets.issuer.is_own(ticket):
            return refusals.may_have_run(
                reason, "this host has dispatched the ticket, or forgotten"
            )
        fresh_ticket = self._fresh_ticket(workspace_name(request.workspace))
        detail = "the ticket's issuer can't be asked"
        return refusals.unclaimed(reason, detail, request.fresh_key, fresh_ticket)

    def _fresh_ticket(self, workspace: str) -> str:
        return self._issued_tickets.issuer.issue(workspace, asyncio.get_running_loop().time())
