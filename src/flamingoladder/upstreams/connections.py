"""Connections to one target.

Idempotent requests share kept connections. A non-idempotent request goes over a new connection: it
can't meet one that the target has just closed or that has gone silent, which would leave its
outcome unknown for no better reason than saving about a millisecond.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from expression import Error
from expression import Ok
from multidict import CIMultiDict
from yarl import URL

from flamingoladder.gateway import fields
from flamingoladder.steering.chooser import AttemptEnd
from flamingoladder.upstreams.attempt import AttemptFailure
from flamingoladder.upstreams.connector import ExchangeConnector
from flamingoladder.upstreams.connector import current_exchange
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Header

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.upstreams.attempt import AttemptResult
    from flamingoladder.upstreams.attempt import Exchange

CONNECT_TIMEOUT_S = 0.5
KEPT_IDLE_S = 15.0
MAX_ANSWER_FIELD_BYTES = 65_536
MS_PER_S = 1_000
NO_CONTENT = 204
NOT_MODIFIED = 304

AUTO_FIELDS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
DROPPED_ANSWER_FIELDS = fields.CONNECTION_FIELDS
NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class Pool:
    """A session that is closed once it is retired and nobody uses it."""

    __slots__ = ("_retired", "_users", "session")

    def __init__(self, limit: int, *, keep: bool) -> None:
        self.session = aiohttp.ClientSession(
            connector=ExchangeConnector(limit, keep_s=KEPT_IDLE_S if keep else None),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=NO_TIMEOUT,
            skip_auto_headers=AUTO_FIELDS,
            max_field_size=MAX_ANSWER_FIELD_BYTES,
            max_line_size=MAX_ANSWER_FIELD_BYTES,
        )
        self._users = 0
        self._retired = False

    async def send(self, request: CallerRequest, url: URL, exchange: Exchange) -> AttemptResult:
        """Send the request and return its whole answer."""
        self._users += 1
        try:
            return await _attempt(self.session, request, url, exchange)
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


class TargetConnections:
    """The connections to one target; ``limit`` bounds them."""

    __slots__ = ("_fresh", "_kept", "_kept_limit", "base_url")

    def __init__(self, address: str, limit: int) -> None:
        self.base_url = f"http://{address}"
        self._kept_limit = max(1, limit // 2)
        self._kept = Pool(self._kept_limit, keep=True)
        self._fresh = Pool(max(1, limit - self._kept_limit), keep=False)

    async def send(self, request: CallerRequest, exchange: Exchange) -> AttemptResult:
        """Send the request over a kept or, if it is not idempotent, a new connection."""
        pool = self._kept if request.route.idempotent else self._fresh
        url = URL(self.base_url + request.path, encoded=True)
        return await pool.send(request, url, exchange)

    async def get_over_new_connection(self, path: str, timeout_s: float) -> Answer | None:
        """Return the answer to a GET of ``path``, or None if none came in time."""
        token = current_exchange.set(None)
        try:
            async with asyncio.timeout(timeout_s):
                async with self._fresh.session.get(self.base_url + path) as response:
                    return Answer(response.status, (), await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        finally:
            current_exchange.reset(token)

    async def renew(self) -> None:
        """Use none of the kept connections for new requests."""
        old = self._kept
        self._kept = Pool(self._kept_limit, keep=True)
        await old.retire()

    async def close(self) -> None:
        """Close the connections as their requests end."""
        await self._kept.retire()
        await self._fresh.retire()


async def _attempt(
    session: aiohttp.ClientSession, request: CallerRequest, url: URL, exchange: Exchange
) -> AttemptResult:
    token = current_exchange.set(exchange)
    whole = False
    try:
        async with exchange.open():
            result = await _exchange(session, request, url, exchange)
            whole = result.is_ok()
            return result
    except TimeoutError:
        return Error(_timed_out(exchange))
    except (aiohttp.ClientError, OSError) as error:
        return Error(_broken(exchange, error))
    finally:
        current_exchange.reset(token)
        exchange.end(whole=whole)


async def _exchange(
    session: aiohttp.ClientSession, request: CallerRequest, url: URL, exchange: Exchange
) -> AttemptResult:
    response = await session.request(
        request.method,
        url,
        data=request.body or None,
        headers=_headers(request),
        allow_redirects=False,
    )
    exchange.response = response
    if response.headers.get(fields.REQUEST_ID, request.request_id) != request.request_id:
        return Error(_lost("the target answered another request", exchange))
    if not _ends_detectably(response, request.method):
        return Error(
            _lost("the answer has neither a length nor chunks, so its end is unknown", exchange)
        )
    body = await response.read()
    headers = tuple(
        Header(str(name), value)
        for name, value in response.headers.items()
        if _passes(name.lower(), request.method)
    )
    return Ok(Answer(response.status, headers, body))


def _headers(request: CallerRequest) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(
        [(header.name, header.value) for header in request.headers]
    )
    left_s = request.deadline - asyncio.get_running_loop().time()
    headers[fields.DEADLINE_MS] = str(max(0, int(left_s * MS_PER_S)))
    headers[fields.REQUEST_ID] = request.request_id
    if request.workspace is not None:
        headers[fields.WORKSPACE] = request.workspace
    if request.idempotency_key is not None:
        headers[fields.IDEMPOTENCY_KEY] = request.idempotency_key
    return headers


def _ends_detectably(response: aiohttp.ClientResponse, method: str) -> bool:
    if method == "HEAD" or response.status in {NO_CONTENT, NOT_MODIFIED}:
        return True
    if "Content-Length" in response.headers:
        return True
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def _passes(name: str, method: str) -> bool:
    if name == "content-length":
        return method == "HEAD"
    return name not in DROPPED_ANSWER_FIELDS


def _timed_out(exchange: Exchange) -> AttemptFailure:
    if not exchange.connected:
        return AttemptFailure(AttemptEnd.UNREACHABLE, False, "no connection in time")
    if exchange.silent:
        return AttemptFailure(AttemptEnd.SILENT, True, "the connection went silent")
    return AttemptFailure(AttemptEnd.CANCELLED, True, "no whole answer by the deadline")


def _broken(exchange: Exchange, error: Exception) -> AttemptFailure:
    detail = type(error).__name__
    if not exchange.connected:
        return AttemptFailure(AttemptEnd.UNREACHABLE, False, f"no connection: {detail}")
    return _lost(f"the connection was lost: {detail}", exchange)


def _lost(detail: str, exchange: Exchange) -> AttemptFailure:
    return AttemptFailure(AttemptEnd.LOST, True, detail, suspect=exchange.reused)
