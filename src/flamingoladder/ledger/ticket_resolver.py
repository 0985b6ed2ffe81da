"""Settles a ticket: by its issuer's word, and after its issuer's end by what the table holds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.claim_queries import ASK_S
from flamingoladder.ledger.claim_queries import HOLD_S
from flamingoladder.ledger.messages import ClaimReply
from flamingoladder.ledger.messages import ClaimStatus
from flamingoladder.ledger.messages import TicketQuestion
from flamingoladder.ledger.resolutions import KnownOutcome
from flamingoladder.ledger.resolutions import UnusedTicket
from flamingoladder.ledger.rows import ticket_row_key

if TYPE_CHECKING:
    from flamingoladder.ledger.issued_tickets import IssuedTickets
    from flamingoladder.ledger.row_reader import RowReader
    from flamingoladder.ledger.tickets import Ticket
    from flamingoladder.peers.link import PeerLinks

SILENT_ASKS = 2


class TicketResolver:
    """The issuers of tickets, this incarnation among them."""

    __slots__ = ("_issued", "_links", "_reader")

    def __init__(self, issued: IssuedTickets, links: PeerLinks, reader: RowReader) -> None:
        self._issued = issued
        self._links = links
        self._reader = reader

    async def settle(
        self,
        workspace: str,
        text: str,
        ticket: Ticket,
        digest: str | None,
        deadline: float,
        *,
        close: bool,
    ) -> KnownOutcome | UnusedTicket | None:
        """Return what is known of a ticket, or None if nothing can be known.

        With ``close`` set, an unused ticket can't be used any more once this returns.
        ``digest`` is that of the request that presents the ticket; None fits any.

        :raises PlatformUnavailableError: if only the table can tell, and it failed.
        :raises DeadlinePassedError: if the deadline passed before the table was asked.
        """
        name = ticket_row_key(workspace, text)
        silent = 0
        while silent < SILENT_ASKS:
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                return KnownOutcome(refusals.in_progress())
            reply = await self._ask(workspace, text, ticket, left_s, close=close)
            if reply is None:
                silent += 1
            elif reply.word is ClaimStatus.GONE:
                break
            elif reply.word is ClaimStatus.NEVER:
                return UnusedTicket(live=True)
            elif digest is not None and reply.digest != digest:
                return KnownOutcome(refusals.key_reused())
            elif reply.word is ClaimStatus.DONE:
                return await self._known(reply, name, deadline)
        return await self._from_table(name, ticket, digest, deadline)

    async def _ask(
        self, workspace: str, text: str, ticket: Ticket, left_s: float, *, close: bool
    ) -> ClaimReply | None:
        timeout_s = min(left_s, ASK_S)
        wait_s = min(HOLD_S, timeout_s / 2)
        question = TicketQuestion(workspace, text, wait_s, close)
        if self._issued.issuer.is_own(ticket):
            return await self._issued.word(question)
        reply = await self._links.ask(ticket.host, question, timeout_s)
        return reply if isinstance(reply, ClaimReply) else None

    async def _known(self, reply: ClaimReply, name: str, deadline: float) -> KnownOutcome | None:
        if reply.outcome is not None:
            return KnownOutcome(reply.outcome.as_outcome())
        outcome = await self._reader.ticket_outcome(name, None, deadline)
        return KnownOutcome(outcome) if outcome else None

    async def _from_table(
        self, name: str, ticket: Ticket, digest: str | None, deadline: float
    ) -> KnownOutcome | UnusedTicket | None:
        """Return what the issuer left in the table.

        The closing row is read before and after: it is there only once all outcomes are, and
        is deleted together with the first outcome that is pruned. Guards ``closing_read_before``
        and ``closing_read_after``.
        """
        closed_before = await self._has_closed(ticket, deadline)
        outcome = await self._reader.ticket_outcome(name, digest, deadline)
        if outcome is not None:
            return KnownOutcome(outcome)
        if closed_before and await self._has_closed(ticket, deadline):
            return UnusedTicket(live=False)
        return None

    async def _has_closed(self, ticket: Ticket, deadline: float) -> bool:
        """Return whether a closing row speaks of the ticket; ``closing_covers_recent_only``."""
        closing = await self._reader.closing(ticket.host, ticket.incarnation, deadline)
        return closing is not None and ticket.issued_s >= closing.issued_from_s
