"""The status of tickets that this incarnation has issued."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.claim_queries import reply_for_entry
from flamingoladder.ledger.claim_queries import wait_for_outcome
from flamingoladder.ledger.messages import ClaimReply
from flamingoladder.ledger.messages import ClaimStatus
from flamingoladder.ledger.messages import TicketQuery
from flamingoladder.ledger.rows import ticket_row_key
from flamingoladder.ledger.tickets import parse_ticket

if TYPE_CHECKING:
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.tickets import Ticket
    from flamingoladder.ledger.tickets import TicketIssuer
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks


class TicketStatus(Enum):
    """The status of a ticket that has no entry at its issuer.

    ``FORGED`` and ``EXPIRED`` tickets have not run and never will, ``UNUSED`` ones have not run
    yet. A ``FORGOTTEN`` ticket may have run: its entry may have been removed.
    """

    FORGED = auto()
    UNUSED = auto()
    EXPIRED = auto()
    FORGOTTEN = auto()


class IssuedTickets:
    """Checks tickets of this incarnation, and answers other hosts' queries about them."""

    __slots__ = ("_entries", "issuer")

    def __init__(self, issuer: TicketIssuer, entries: Entries, links: PeerLinks) -> None:
        self.issuer = issuer
        self._entries = entries
        links.register(TicketQuery, self._handle_query)

    def status(self, workspace: str, ticket_text: str, ticket: Ticket, now: float) -> TicketStatus:
        """Return the status at ``now`` of a ticket of this incarnation that has no entry.

        Model guards ``expired_is_refused`` and ``forgotten_is_unknown``.
        """
        if not self.issuer.has_valid_signature(workspace, ticket_text):
            return TicketStatus.FORGED
        if now < ticket.expires_s:
            return TicketStatus.UNUSED
        if now < ticket.retain_until:
            return TicketStatus.EXPIRED
        return TicketStatus.FORGOTTEN

    def close(self, row_key: str, ticket: Ticket) -> None:
        """Close an unused ticket for good; model guard ``closed_ticket_stays_closed``."""
        self._entries.add_closed(row_key, ticket.retain_until, refusals.key_closed())

    async def reply_to(self, query: TicketQuery) -> ClaimReply:
        """Return the ticket's status; close an unused ticket first if the query asks for it."""
        ticket = parse_ticket(query.ticket)
        if ticket is None or not self.issuer.is_own(ticket):
            return ClaimReply(ClaimStatus.UNKNOWN)
        row_key = ticket_row_key(query.workspace, query.ticket)
        entry = self._entries.by_row_key.get(row_key)
        if entry is not None:
            await wait_for_outcome(entry, query.wait_s)
            return reply_for_entry(entry)
        now = asyncio.get_running_loop().time()
        status = self.status(query.workspace, query.ticket, ticket, now)
        if status is TicketStatus.FORGOTTEN:
            return ClaimReply(ClaimStatus.UNKNOWN)
        if query.close and status is TicketStatus.UNUSED:
            self.close(row_key, ticket)
        return ClaimReply(ClaimStatus.NEVER_RUN)

    async def _handle_query(self, _peer: Peer, query: TicketQuery) -> ClaimReply:
        return await self.reply_to(query)
