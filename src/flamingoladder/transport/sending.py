"""Sends one request over one connection, once."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from flamingoladder import fields
from flamingoladder.transport.answer_progress import MAX_OTHER_BYTES
from flamingoladder.transport.bodies import MAX_ANSWER_BYTES
from flamingoladder.transport.bodies import read_body
from flamingoladder.transport.connector import current_exchange
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Header

if TYPE_CHECKING:
    from multidict import CIMultiDict
    from yarl import URL

    from flamingoladder.transport.answer_memory import AnswerMemory
    from flamingoladder.transport.exchange import Exchange

NO_CONTENT = 204
NOT_MODIFIED = 304


class FailureKind(StrEnum):
    """Why there is no whole answer; ``NO_ANSWER`` stands for bytes that are none, without end."""

    NO_CONNECTION = "no_connection"
    LOST = "lost"
    NO_ANSWER = "no_answer"
    REFUSED = "refused"
    SILENT = "silent"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"


class SendFailure(msgspec.Struct, frozen=True):
    """A request without a whole answer.

    No byte of it left only if it got no connection, or was refused by the last check. ``reused`` is
    True if it went over a kept connection, whose fault this may be.
    """

    kind: FailureKind
    detail: str
    reused: bool

    @property
    def may_have_run(self) -> bool:
        """Return whether a byte of the request may have left."""
        return self.kind not in {FailureKind.NO_CONNECTION, FailureKind.REFUSED}


class EchoRule(msgspec.Struct, frozen=True):
    """How an answer proves to be the one to a request.

    ``field`` brings back the request's id. If it is ``required``, an answer without it is refused;
    with it an answer may also end with its connection, as long as that is not reset. If it is not
    required, a connection whose answer came without it carries no other request, since a late
    second answer would pass for the answer to that one.
    """

    field: str
    required: bool


OPTIONAL_ECHO = EchoRule(fields.REQUEST_ID, required=False)


class Outgoing:
    """A request as it goes out; an answer with another ``request_id`` is refused.

    ``target`` is the request target, byte for byte; without one it is that of ``url``.
    """

    __slots__ = ("body", "echo", "headers", "method", "request_id", "target", "url")

    def __init__(
        self,
        method: str,
        url: URL,
        headers: CIMultiDict[str],
        body: bytes,
        request_id: str,
        echo: EchoRule = OPTIONAL_ECHO,
        target: str = "",
    ) -> None:
        self.echo = echo
        self.target = target
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.request_id = request_id


async def send(
    session: aiohttp.ClientSession, outgoing: Outgoing, exchange: Exchange, memory: AnswerMemory
) -> Answer | SendFailure:
    """Send the request, once, and return the whole answer or why there is none.

    The connection is closed if this fails or is cancelled. ``memory`` bounds the answer's body.
    """
    token = current_exchange.set(exchange)
    exchange.target = outgoing.target
    whole = False
    try:
        async with exchange.open():
            result = await _exchange(session, outgoing, exchange, memory)
            whole = isinstance(result, Answer)
            return result
    except TimeoutError:
        return _timed_out(exchange)
    except (aiohttp.ClientError, OSError) as error:
        return _broken(exchange, error)
    finally:
        current_exchange.reset(token)
        exchange.end(whole=whole)


async def _exchange(
    session: aiohttp.ClientSession, outgoing: Outgoing, exchange: Exchange, memory: AnswerMemory
) -> Answer | SendFailure:
    response = await session.request(
        outgoing.method,
        outgoing.url,
        data=outgoing.body or None,
        headers=outgoing.headers,
        allow_redirects=False,
    )
    exchange.answer.response = response
    if _is_crossed(response, outgoing, reused=exchange.reused):
        return _lost(exchange, "the answer is to another request")
    if outgoing.request_id and outgoing.echo.field not in response.headers:
        exchange.use_connection_once()
    framed = _ends_detectably(response, outgoing.method)
    if not framed and not outgoing.echo.required:
        return _lost(exchange, "the answer has no length and no chunks, so no certain end")
    body = await read_body(response, memory)
    if body is None:
        detail = f"the answer is over {MAX_ANSWER_BYTES} bytes, or those at work are too many"
        return SendFailure(FailureKind.TOO_LARGE, detail, exchange.reused)
    if not framed and not exchange.has_ended():
        if exchange.answer.flooded:
            return _flooded(exchange)
        return _lost(exchange, "the connection broke before the end of an answer")
    headers = tuple(
        Header(str(name), value)
        for name, value in response.headers.items()
        if _passes(name.lower(), outgoing.method)
    )
    answer = Answer(response.status, headers, body)
    memory.hold(answer, len(body))
    return answer


def _is_crossed(response: aiohttp.ClientResponse, outgoing: Outgoing, *, reused: bool) -> bool:
    answered = response.headers.getall(outgoing.echo.field, [])
    if not answered:
        return outgoing.echo.required or (reused and bool(outgoing.request_id))
    return bool(outgoing.request_id) and answered != [outgoing.request_id]


def _ends_detectably(response: aiohttp.ClientResponse, method: str) -> bool:
    if method == "HEAD" or response.status in {NO_CONTENT, NOT_MODIFIED}:
        return True
    if "Content-Length" in response.headers:
        return True
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def _passes(name: str, method: str) -> bool:
    if name == "content-length":
        return method == "HEAD"
    return name not in fields.CONNECTION_FIELDS


def _timed_out(exchange: Exchange) -> SendFailure:
    if not exchange.connected:
        return SendFailure(FailureKind.NO_CONNECTION, "no connection in time", reused=False)
    if exchange.silent:
        detail = "nothing came from the connection for too long"
        return SendFailure(FailureKind.SILENT, detail, exchange.reused)
    return SendFailure(FailureKind.TIMEOUT, "no whole answer in time", exchange.reused)


def _broken(exchange: Exchange, error: Exception) -> SendFailure:
    name = type(error).__name__
    if exchange.answer.flooded:
        return _flooded(exchange)
    if exchange.refusal is not None:
        return SendFailure(FailureKind.REFUSED, exchange.refusal.detail, reused=False)
    if not exchange.connected:
        return SendFailure(FailureKind.NO_CONNECTION, f"no connection: {name}", reused=False)
    return _lost(exchange, f"the connection was lost: {name}")


def _flooded(exchange: Exchange) -> SendFailure:
    detail = f"over {MAX_OTHER_BYTES} bytes came that are no content"
    return SendFailure(FailureKind.NO_ANSWER, detail, exchange.reused)


def _lost(exchange: Exchange, detail: str) -> SendFailure:
    return SendFailure(FailureKind.LOST, detail, exchange.reused)
