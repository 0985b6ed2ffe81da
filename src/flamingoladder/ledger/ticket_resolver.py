"""Resolution of a ticket by querying its issuer or, once that has ended, by reading the table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.claim_queries import LONG_POLL_S
from flamingoladder.ledger.claim_queries import QUERY_TIMEOUT_S
from flamingoladder.ledger.messages import ClaimReply
from flamingoladder.ledger.messages import ClaimStatus
from flamingoladder.ledger.messages import TicketQuery
from flamingoladder.ledger.resolutions import KnownOutcome
from flamingoladder.ledger.resolutions import UnusedTicket
from flamingoladder.ledger.rows import ticket_row_key

if TYPE_CHECKING:
    from flamingoladder.ledger.issued_tickets import IssuedTickets
    from flamingoladder.ledger.row_reader import RowReader
    from flamingoladder.ledger.tickets import Ticket
    from flamingoladder.peers.link import PeerLinks

MAX_UNANSWERED_QUERIES = 2


class TicketResolver:
    """Resolver of tickets that any incarnation, including this one, has issued."""

    __slots__ = ("_issued_tickets", "_links", "_reader")

    def __init__(self, issued_tickets: IssuedTickets, links: PeerLinks, reader: RowReader) -> None:
        self._issued_tickets = issued_tickets
        self._links = links
        self._reader = reader

    async def resolve(
        self,
        workspace: str,
        ticket_text: str,
        ticket: Ticket,
        digest: str | None,
        deadline: float,
        *,
        close: bool,
    ) -> KnownOutcome | UnusedTicket | None:
        """Return the ticket's outcome, ``UnusedTicket``, or None if neither can be determined.

        With ``close`` set, an unused ticket can't be used any more once this returns.
        ``digest`` is that of the request that presents the ticket; None matches any request.

        :raises PlatformUnavailableError: if the table had to be read, and failed.
        :raises DeadlinePassedError: if the deadline passed before the table was read.
        """
        row_key = ticket_row_key(workspace, ticket_text)
        unanswered = 0
        while unanswered < MAX_UNANSWERED_QUERIES:
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return KnownOutcome(refusals.in_progress())
            reply = await self._query_issuer(
                workspace, ticket_text, ticket, remaining_s, close=close
            )
            if reply is None:
                unanswered += 1
            elif reply.status is ClaimStatus.UNKNOWN:
                break
            elif reply.status is ClaimStatus.NEVER_RUN:
                return UnusedTicket(issuer_running=True)
            elif digest is not None and reply.digest != digest:
                return KnownOutcome(refusals.key_reused())
            elif reply.status is ClaimStatus.DONE:
                return await self._known_outcome(reply, row_key, deadline)
        return await self._resolve_from_table(row_key, ticket, digest, deadline)

    async def _query_issuer(
        self, workspace: str, ticket_text: str, ticket: Ticket, remaining_s: float, *, close: bool
    ) -> ClaimReply | None:
        timeout_s = min(remaining_s, QUERY_TIMEOUT_S)
        wait_s = min(LONG_POLL_S, timeout_s / 2)
        query = TicketQuery(workspace, ticket_text, wait_s, close)
        if self._issued_tickets.issuer.is_own(ticket):
            return await self._issued_tickets.reply_to(query)
        reply = await self._links.request(ticket.host, query, timeout_s)
        return reply if isinstance(reply, ClaimReply) else None

    async def _known_outcome(
        self, reply: ClaimReply, row_key: str, deadline: float
    ) -> KnownOutcome | None:
        if reply.outcome is not None:
            return KnownOutcome(reply.outcome.as_outcome())
        outcome = await self._reader.ticket_outcome(row_key, None, deadline)
        return KnownOutcome(outcome) if outcome else None

    async def _resolve_from_table(
        self, row_key: str, ticket: Ticket, digest: str | None, deadline: float
    ) -> KnownOutcome | UnusedTicket | None:
        """Resolve the ticket by the outcome and the shutdown row that its issuer wrote.

        The shutdown row is read before and after the outcome: it is written only after all
        outcomes, and is deleted together with the first outcome that is pruned. Model guards
        ``closing_read_before`` and ``closing_read_after``.
        """
        covered_before = await self._covered_by_shutdown(ticket, deadline)
        outcome = await self._reader.ticket_outcome(row_key, digest, deadline)
        if outcome is not None:
            return KnownOutcome(outcome)
        if covered_before and await self._covered_by_shutdown(ticket, deadline):
            return UnusedTicket(issuer_running=False)
        return None

    async def _covered_by_shutdown(self, ticket: Ticket, deadline: float) -> bool:
        """Return whether the issuer's shutdown row covers the ticket.

        Model guard ``closing_covers_recent_only``.
        """
        shutdown = await self._reader.shutdown_row(ticket.host, ticket.incarnation, deadline)
        return shutdown is not None and ticket.issued_s >= shutdown.issued_from_s
