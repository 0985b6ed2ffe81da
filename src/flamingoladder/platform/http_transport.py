"""Calls over HTTP to the platform's services, which tell "never sent" from "answer lost"."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from http import HTTPMethod
from http import HTTPStatus

import aiohttp
import msgspec

from flamingoladder.memory.body import PartedBody
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.memory.reservation import Reservation
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformRefusedError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.transport.bodies import MAX_ANSWER_BYTES
from flamingoladder.transport.bodies import read_body
from flamingoladder.transport.connector import ExchangeConnector
from flamingoladder.transport.connector import current_exchange
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.final_status import is_final_status

CONNECTION_LIMIT = 32
IDLE_CONNECTION_S = 30.0
CONNECT_TIMEOUT_S = 0.8
CLIENT_CLOSED_REQUEST = 499
UNKNOWN_OUTCOME_STATUSES = frozenset({HTTPStatus.REQUEST_TIMEOUT, CLIENT_CLOSED_REQUEST})


class HttpCall(msgspec.Struct, frozen=True):
    """A call: ``path`` starts with a slash, ``accepted`` are the statuses that are an answer."""

    method: HTTPMethod
    path: str
    accepted: frozenset[int] = frozenset({HTTPStatus.OK})
    body: bytes | None = None
    headers: dict[str, str] = {}


class HttpReply(msgspec.Struct, frozen=True):
    """A whole answer with an accepted status."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class HttpTransport:
    """Connections to one platform service.

    A call that times out closes its connection and retires all others that were open with it, as
    whatever silenced one may have silenced all. The next call opens a new connection.
    """

    __slots__ = ("_headers", "_memory", "_pool", "_url")

    def __init__(self, url: str, token: str | None) -> None:
        self._url = url.rstrip("/")
        self._headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        self._memory = MemoryBudget()
        self._pool: _Pool | None = None

    @classmethod
    def from_config(cls, url: str, token: str | None) -> HttpTransport:
        """Return a transport to the service at the base URL ``url``; it connects when called."""
        return cls(url, token)

    async def read(self, call: HttpCall, timeout_s: float) -> HttpReply:
        """Make a call that has no effect, within ``timeout_s`` seconds.

        :raises PlatformUnavailableError: if no accepted answer came.
        """
        try:
            return await self.write(call, timeout_s)
        except OutcomeUnknownError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def write(self, call: HttpCall, timeout_s: float) -> HttpReply:
        """Make a call that may have an effect, within ``timeout_s`` seconds.

        :raises PlatformUnavailableError: if the call was not sent, or was refused unexecuted.
        :raises OutcomeUnknownError: if it may have been sent and no whole answer came.
        """
        reply = await self._exchange(call, timeout_s)
        if reply.status in call.accepted:
            return reply
        described = f"{call.method} {call.path} got status {reply.status}"
        if reply.status in UNKNOWN_OUTCOME_STATUSES or not is_final_status(reply.status):
            raise OutcomeUnknownError(described)
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise OutcomeUnknownError(described)
        raise PlatformRefusedError(described)

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        pool, self._pool = self._pool, None
        if pool is not None:
            await pool.session.close()

    async def _exchange(self, call: HttpCall, timeout_s: float) -> HttpReply:
        pool = self._pool = self._pool or _Pool()
        pool.calls += 1
        exchange = Exchange(asyncio.get_running_loop().time() + timeout_s)
        token = current_exchange.set(exchange)
        whole = False
        try:
            async with exchange.open():
                reply = await self._send(pool, call, exchange)
                whole = True
                return reply
        except TimeoutError as error:
            if exchange.connected:
                self._retire(pool)
            raise _failure(exchange, f"no answer within {timeout_s} s") from error
        except (aiohttp.ClientError, OSError) as error:
            raise _failure(exchange, f"{type(error).__name__}: {error}") from error
        finally:
            current_exchange.reset(token)
            exchange.end(whole=whole)
            pool.calls -= 1
            await pool.close_if_unused()

    async def _send(self, pool: _Pool, call: HttpCall, exchange: Exchange) -> HttpReply:
        async with pool.session.request(
            call.method,
            self._url + call.path,
            data=call.body,
            headers={**self._headers, **call.headers},
            allow_redirects=False,
        ) as response:
            exchange.answer.response = response
            reservation = Reservation(self._memory)
            try:
                body = await read_body(response, reservation)
            finally:
                reservation.release()
            if body is None:
                raise aiohttp.ClientPayloadError(f"the reply is over {MAX_ANSWER_BYTES} bytes")
            whole = body.joined() if isinstance(body, PartedBody) else body
            return HttpReply(response.status, whole, response.headers)

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = None


class _Pool:
    """A session with its connections, closed when it is retired and its last call has ended."""

    __slots__ = ("calls", "retired", "session")

    def __init__(self) -> None:
        self.calls = 0
        self.retired = False
        self.session = aiohttp.ClientSession(
            connector=ExchangeConnector(CONNECTION_LIMIT, keep_s=IDLE_CONNECTION_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def close_if_unused(self) -> None:
        """Close the session if it is retired and no call uses it."""
        if self.retired and self.calls == 0:
            await self.session.close()


def _failure(exchange: Exchange, reason: str) -> PlatformUnavailableError | OutcomeUnknownError:
    if exchange.connected:
        return OutcomeUnknownError(reason)
    return PlatformUnavailableError(reason)
