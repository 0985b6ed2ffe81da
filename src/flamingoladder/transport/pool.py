"""Connections that are used together and retired together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from flamingoladder.transport.connector import SILENCE_S
from flamingoladder.transport.connector import ExchangeConnector
from flamingoladder.transport.exact_request import ExactRequest
from flamingoladder.transport.sending import AnswerRoom
from flamingoladder.transport.sending import send

if TYPE_CHECKING:
    from flamingoladder.memory.accounts import Account
    from flamingoladder.memory.budget import MemoryBudget
    from flamingoladder.transport.exchange import Exchange
    from flamingoladder.transport.sending import Outgoing
    from flamingoladder.transport.sending import SendFailure
    from flamingoladder.verdict import Answer

CONNECT_TIMEOUT_S = 0.5
KEPT_IDLE_S = 15.0
MAX_ANSWER_FIELD_BYTES = 65_536
# An answer that waits for memory holds up to twice as much.
READ_BUFFER_BYTES = 65_536

AUTO_FIELDS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class Pool:
    """At most ``limit`` connections, kept or new for each request.

    ``memory`` bounds the answers of all pools that share it; ``accounts`` hold them. With
    ``parted``, large answers are not joined.
    """

    __slots__ = ("_retired", "_room", "_users", "session")

    def __init__(
        self,
        limit: int,
        *,
        keep: bool,
        memory: MemoryBudget,
        keep_s: float = KEPT_IDLE_S,
        silence_s: float = SILENCE_S,
        accounts: tuple[Account, ...] = (),
        parted: bool = False,
    ) -> None:
        self._room = AnswerRoom(memory, accounts, parted=parted)
        kept_s = keep_s if keep else None
        self.session = aiohttp.ClientSession(
            connector=ExchangeConnector(limit, keep_s=kept_s, silence_s=silence_s),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=TIMEOUT,
            skip_auto_headers=AUTO_FIELDS,
            max_field_size=MAX_ANSWER_FIELD_BYTES,
            max_line_size=MAX_ANSWER_FIELD_BYTES,
            request_class=ExactRequest,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._users = 0
        self._retired = False

    async def send(self, outgoing: Outgoing, exchange: Exchange) -> Answer | SendFailure:
        """Send the request and return its whole answer, or why there is none."""
        self._users += 1
        try:
            return await send(self.session, outgoing, exchange, self._room)
        finally:
            self._users -= 1
            await self._close_if_unused()

    async def retire(self) -> None:
        """Close the idle connections now and the others as their requests end."""
        self._retired = True
        await self._close_if_unused()

    async def _close_if_unused(self) -> None:
        if self._retired and not self._users:
            await self.session.close()


class PoolPair:
    """Kept connections, and new ones for requests that must not meet a dying kept one.

    A non-idempotent request over a kept connection could meet one that the other end has just
    closed, or that has gone silent; its outcome would be unknown for the sake of one round trip.
    """

    __slots__ = ("_limit", "_memory", "fresh", "kept")

    def __init__(self, limit: int, memory: MemoryBudget) -> None:
        self._limit = max(1, limit // 2)
        self._memory = memory
        self.kept = Pool(self._limit, keep=True, memory=memory)
        self.fresh = Pool(self._limit, keep=False, memory=memory)

    async def send(
        self, outgoing: Outgoing, exchange: Exchange, *, idempotent: bool
    ) -> Answer | SendFailure:
        """Send the request over a kept or, if it is not idempotent, a new connection."""
        pool = self.kept if idempotent else self.fresh
        return await pool.send(outgoing, exchange)

    async def renew(self) -> None:
        """Use none of the kept connections for new requests."""
        old = self.kept
        self.kept = Pool(self._limit, keep=True, memory=self._memory)
        await old.retire()

    async def close(self) -> None:
        """Close the connections as their requests end."""
        await self.kept.retire()
        await self.fresh.retire()
