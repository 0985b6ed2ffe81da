"""Asks the incarnation that holds a claim what became of it, and answers such questions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.messages import ClaimQuestion
from flamingoladder.ledger.messages import ClaimReply
from flamingoladder.ledger.messages import ClaimStatus

if TYPE_CHECKING:
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.entries import Entry
    from flamingoladder.ledger.rows import ClaimRow
    from flamingoladder.members.state import Member
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks

ASK_S = 0.5
HOLD_S = 0.25


class ClaimQueries:
    """The words of claims' holders, this host among them."""

    __slots__ = ("_entries", "_links", "_own")

    def __init__(self, entries: Entries, links: PeerLinks, own: Member) -> None:
        self._entries = entries
        self._links = links
        self._own = own
        links.register(ClaimQuestion, self._answer)

    async def ask(self, name: str, claim: ClaimRow, left_s: float) -> ClaimReply | None:
        """Return the holder's word within ``left_s`` seconds, or None if it can't be had."""
        timeout_s = min(left_s, ASK_S)
        wait_s = min(HOLD_S, timeout_s / 2)
        question = ClaimQuestion(name, claim.incarnation, claim.attempt, wait_s)
        if claim.host == self._own.host:
            return await self._settled_word(question)
        reply = await self._links.ask(claim.host, question, timeout_s)
        return reply if isinstance(reply, ClaimReply) else None

    def word_of(self, name: str, attempt: int) -> ClaimReply:
        """Return this incarnation's word on one of its attempts.

        An entry that was dispatched is forgotten only after its row has changed for good. So an
        unknown attempt is one that was given up, or whose row the asker has seen too early: in
        both cases a write on condition of the row's old revision is safe. Guards
        ``word_never_is_final`` and ``remembered_until_written``.
        """
        entry = self._entries.by_name.get(name)
        if entry is None or entry.attempt != attempt:
            return ClaimReply(ClaimStatus.NEVER)
        return reply_of(entry)

    async def _answer(self, _peer: Peer, question: ClaimQuestion) -> ClaimReply:
        return await self._settled_word(question)

    async def _settled_word(self, question: ClaimQuestion) -> ClaimReply:
        if question.incarnation != self._own.incarnation:
            return ClaimReply(ClaimStatus.GONE)
        entry = self._entries.by_name.get(question.name)
        if entry is not None and entry.attempt == question.attempt:
            await settled(entry, question.wait_s)
        return self.word_of(question.name, question.attempt)


async def settled(entry: Entry, wait_s: float) -> None:
    """Wait up to ``wait_s`` seconds until the entry has an outcome."""
    if entry.finished is None:
        return
    await asyncio.wait([entry.finished], timeout=wait_s)


def reply_of(entry: Entry) -> ClaimReply:
    """Return what an entry shows."""
    if entry.in_progress:
        return ClaimReply(ClaimStatus.IN_PROGRESS, entry.digest)
    if entry.state is EntryState.GIVEN_UP:
        return ClaimReply(ClaimStatus.NEVER, entry.digest)
    return ClaimReply(ClaimStatus.DONE, entry.digest, entry.kept)
