"""Status queries between hosts about claims, sent to and answered by the claims' holders."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.messages import ClaimQuery
from flamingoladder.ledger.messages import ClaimReply
from flamingoladder.ledger.messages import ClaimStatus

if TYPE_CHECKING:
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.entries import Entry
    from flamingoladder.ledger.rows import ClaimRow
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks

QUERY_TIMEOUT_S = 0.5
LONG_POLL_S = 0.25


class ClaimQueries:
    """Client and server of claim status queries; queries to this host itself skip the network."""

    __slots__ = ("_entries", "_links", "_own")

    def __init__(self, entries: Entries, links: PeerLinks, own: Member) -> None:
        self._entries = entries
        self._links = links
        self._own = own
        links.register(ClaimQuery, self._handle_query)

    async def query(self, row_key: str, claim: ClaimRow, remaining_s: float) -> ClaimReply | None:
        """Return the holder's reply, or None if there is none within ``remaining_s`` seconds."""
        timeout_s = min(remaining_s, QUERY_TIMEOUT_S)
        wait_s = min(LONG_POLL_S, timeout_s / 2)
        query = ClaimQuery(row_key, claim.incarnation, claim.attempt, wait_s)
        if claim.host == self._own.host:
            return await self._reply_after_wait(query)
        reply = await self._links.request(claim.host, query, timeout_s)
        return reply if isinstance(reply, ClaimReply) else None

    def reply_for_attempt(self, row_key: str, attempt: int) -> ClaimReply:
        """Return the status of one of this incarnation's attempts.

        The entry of a dispatched request is removed only after its outcome is in the row. So an
        attempt without an entry was abandoned, or the querying host read the row before its last
        change: in both cases a write conditional on the revision it read is safe. Model guards
        ``word_never_is_final`` and ``remembered_until_written``.
        """
        entry = self._entries.by_row_key.get(row_key)
        if entry is None or entry.attempt != attempt:
            return ClaimReply(ClaimStatus.NEVER_RUN)
        return reply_for_entry(entry)

    async def _handle_query(self, _peer: Peer, query: ClaimQuery) -> ClaimReply:
        return await self._reply_after_wait(query)

    async def _reply_after_wait(self, query: ClaimQuery) -> ClaimReply:
        if query.incarnation != self._own.incarnation:
            return ClaimReply(ClaimStatus.UNKNOWN)
        entry = self._entries.by_row_key.get(query.row_key)
        if entry is not None and entry.attempt == query.attempt:
            await wait_for_outcome(entry, query.wait_s)
        return self.reply_for_attempt(query.row_key, query.attempt)


async def wait_for_outcome(entry: Entry, wait_s: float) -> None:
    """Wait up to ``wait_s`` seconds until the entry has an outcome."""
    if entry.outcome_future is None:
        return
    await asyncio.wait([entry.outcome_future], timeout=wait_s)


def reply_for_entry(entry: Entry) -> ClaimReply:
    """Return the reply that reports the entry's state and outcome."""
    if entry.in_progress:
        return ClaimReply(ClaimStatus.IN_PROGRESS, entry.digest)
    if entry.state is EntryState.ABANDONED:
        return ClaimReply(ClaimStatus.NEVER_RUN, entry.digest)
    return ClaimReply(ClaimStatus.DONE, entry.digest, entry.cached_outcome)
