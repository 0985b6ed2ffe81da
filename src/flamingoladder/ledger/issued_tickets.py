"""What this incarnation knows of the tickets that it has issued."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.claim_queries import reply_of
from flamingoladder.ledger.claim_queries import settled
from flamingoladder.ledger.messages import ClaimReply
from flamingoladder.ledger.messages import ClaimStatus
from flamingoladder.ledger.messages import TicketQuestion
from flamingoladder.ledger.rows import ticket_row_key
from flamingoladder.ledger.tickets import parse

if TYPE_CHECKING:
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.tickets import Ticket
    from flamingoladder.ledger.tickets import TicketIssuer
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks


class TicketStatus(Enum):
    """What the issuer knows of a ticket without an entry.

    ``FORGED`` and ``EXPIRED`` ones have not run and never will, ``UNUSED`` ones have not run yet.
    """

    FORGED = auto()
    UNUSED = auto()
    EXPIRED = auto()
    FORGOTTEN = auto()


class IssuedTickets:
    """Tickets of this incarnation, and the answers to peers' questions about them."""

    __slots__ = ("_entries", "issuer")

    def __init__(self, issuer: TicketIssuer, entries: Entries, links: PeerLinks) -> None:
        self.issuer = issuer
        self._entries = entries
        links.register(TicketQuestion, self._answer)

    def status(self, workspace: str, text: str, ticket: Ticket, now: float) -> TicketStatus:
        """Return the status at ``now`` of a ticket of this incarnation that has no entry.

        Guards ``expired_is_refused`` and ``forgotten_is_unknown``.
        """
        if not self.issuer.is_genuine(workspace, text):
            return TicketStatus.FORGED
        if now < ticket.expires_s:
            return TicketStatus.UNUSED
        if now < ticket.remembered_until:
            return TicketStatus.EXPIRED
        return TicketStatus.FORGOTTEN

    def close(self, name: str, ticket: Ticket) -> None:
        """Make sure that an unused ticket is never used; guard ``closed_ticket_stays_closed``."""
        self._entries.add_closed(name, ticket.remembered_until, refusals.key_closed())

    async def word(self, question: TicketQuestion) -> ClaimReply:
        """Return this incarnation's word on a ticket, and close it first if asked to."""
        ticket = parse(question.ticket)
        if ticket is None or not self.issuer.is_own(ticket):
            return ClaimReply(ClaimStatus.GONE)
        name = ticket_row_key(question.workspace, question.ticket)
        entry = self._entries.by_name.get(name)
        if entry is not None:
            await settled(entry, question.wait_s)
            return reply_of(entry)
        now = asyncio.get_running_loop().time()
        status = self.status(question.workspace, question.ticket, ticket, now)
        if status is TicketStatus.FORGOTTEN:
            return ClaimReply(ClaimStatus.GONE)
        if question.close and status is TicketStatus.UNUSED:
            self.close(name, ticket)
        return ClaimReply(ClaimStatus.NEVER)

    async def _answer(self, _peer: Peer, question: TicketQuestion) -> ClaimReply:
        return await self.word(question)
