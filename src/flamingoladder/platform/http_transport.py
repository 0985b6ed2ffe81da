"""Calls over HTTP to the platform's services, which tell "never sent" from "answer lost"."""

from __future__ import annotations

from http import HTTPMethod
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from flamingoladder.platform.exceptions import OutcomeUnknownError
from flamingoladder.platform.exceptions import PlatformRefusedError
from flamingoladder.platform.exceptions import PlatformUnavailableError

if TYPE_CHECKING:
    from types import SimpleNamespace

CONNECTION_LIMIT = 32
IDLE_CONNECTION_S = 30.0
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
    etag: str | None


class HttpTransport:
    """Connections to one platform service.

    A call that times out closes its connection and retires all others that were open with it, as
    whatever silenced one may have silenced all. The next call opens a new connection.
    """

    __slots__ = ("_headers", "_pool", "_url")

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool: _Pool | None = None

    @classmethod
    def from_config(cls, url: str, token: str) -> HttpTransport:
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
        if reply.status in UNKNOWN_OUTCOME_STATUSES:
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
        attempt = _Attempt()
        pool = self._pool = self._pool or _Pool()
        pool.calls += 1
        try:
            return await self._send(pool, call, timeout_s, attempt)
        except TimeoutError as error:
            if attempt.connected:
                self._retire(pool)
            raise attempt.failure(f"no answer within {timeout_s} s") from error
        except aiohttp.ClientError as error:
            raise attempt.failure(f"{type(error).__name__}: {error}") from error
        finally:
            pool.calls -= 1
            await pool.close_if_unused()

    async def _send(
        self, pool: _Pool, call: HttpCall, timeout_s: float, attempt: _Attempt
    ) -> HttpReply:
        async with pool.session.request(
            call.method,
            self._url + call.path,
            data=call.body,
            headers={**self._headers, **call.headers},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
            allow_redirects=False,
            trace_request_ctx=attempt,
        ) as response:
            body = await response.read()
            return HttpReply(response.status, body, response.headers.get("ETag"))

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = None


class _Attempt:
    """Whether a call had a connection, so that some of it may have been sent."""

    __slots__ = ("connected",)

    def __init__(self) -> None:
        self.connected = False

    def failure(self, reason: str) -> PlatformUnavailableError | OutcomeUnknownError:
        """Return the error for a call that failed for ``reason``."""
        if self.connected:
            return OutcomeUnknownError(reason)
        return PlatformUnavailableError(reason)


class _Pool:
    """A session with its connections, closed when it is retired and its last call has ended."""

    __slots__ = ("calls", "retired", "session")

    def __init__(self) -> None:
        self.calls = 0
        self.retired = False
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=CONNECTION_LIMIT, keepalive_timeout=IDLE_CONNECTION_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[_tracing()],
        )

    async def close_if_unused(self) -> None:
        """Close the session if it is retired and no call uses it."""
        if self.retired and self.calls == 0:
            await self.session.close()


def _tracing() -> aiohttp.TraceConfig:
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_mark_connected)
    config.on_connection_reuseconn.append(_mark_connected)
    return config


async def _mark_connected(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: object
) -> None:
    context.trace_request_ctx.connected = True
