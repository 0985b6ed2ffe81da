"""Sends one request over one connection, once."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from weakref import finalize

import aiohttp
import msgspec

from flamingoladder import fields
from flamingoladder.memory.answers import HeldAnswer
from flamingoladder.memory.body import BodyPayload
from flamingoladder.memory.body import PartedBody
from flamingoladder.memory.budget import SMALL_BYTES
from flamingoladder.memory.reservation import Reservation
from flamingoladder.transport.answer_progress import MAX_OTHER_BYTES
from flamingoladder.transport.bodies import MAX_ANSWER_BYTES
from flamingoladder.transport.bodies import read_body
from flamingoladder.transport.connector import current_exchange
from flamingoladder.transport.final_status import is_final_status
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Header

if TYPE_CHECKING:
    from multidict import CIMultiDict
    from yarl import URL

    from flamingoladder.memory.accounts import Account
    from flamingoladder.memory.body import Content
    from flamingoladder.memory.budget import MemoryBudget
    from flamingoladder.transport.exchange import Exchange

NO_CONTENT = 204
NOT_MODIFIED = 304


class FailureKind(StrEnum):
    """Why there is no whole answer.

    ``INVALID_STATUS`` stands for an answer whose status no final answer has, ``NO_ANSWER`` for
    bytes that are none, without end.
    """

    NO_CONNECTION = "no_connection"
    LOST = "lost"
    INVALID_STATUS = "invalid_status"
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
        body: Content,
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


class AnswerRoom:
    """Where the memory of answers comes from.

    With ``parted``, answers are returned as ``HeldAnswer`` and never joined.
    """

    __slots__ = ("_accounts", "_budget", "parted")

    def __init__(
        self, budget: MemoryBudget, accounts: tuple[Account, ...] = (), *, parted: bool = False
    ) -> None:
        self._budget = budget
        self._accounts = accounts
        self.parted = parted

    def reservation(self) -> Reservation:
        """Return an empty reservation for one answer."""
        return Reservation(self._budget, self._accounts)


async def send(
    session: aiohttp.ClientSession, outgoing: Outgoing, exchange: Exchange, room: AnswerRoom
) -> Answer | SendFailure:
    """Send the request, once, and return the whole answer or why there is none.

    The connection is closed if this fails or is cancelled. ``room`` bounds the answer's body.
    """
    reservation = room.reservation()
    data = _data(outgoing.body)
    token = current_exchange.set(exchange)
    exchange.target = outgoing.target
    exchange.body_bytes = len(outgoing.body)
    whole = False
    try:
        async with exchange.open():
            result = await _exchange(session, outgoing, data, exchange, reservation)
            whole = isinstance(result, HeldAnswer)
            return _joined(result) if isinstance(result, Answer) and not room.parted else result
    except TimeoutError:
        return _timed_out(exchange)
    except (aiohttp.ClientError, OSError) as error:
        return _broken(exchange, error)
    finally:
        current_exchange.reset(token)
        exchange.end(whole=whole)
        if not whole:
            reservation.release()
        if isinstance(data, BodyPayload):
            data.forget()


async def _exchange(
    session: aiohttp.ClientSession,
    outgoing: Outgoing,
    data: bytes | BodyPayload | None,
    exchange: Exchange,
    reservation: Reservation,
) -> Answer | SendFailure:
    response = await session.request(
        outgoing.method,
        outgoing.url,
        data=data,
        headers=outgoing.headers,
        allow_redirects=False,
    )
    exchange.answer.response = response
    if _is_crossed(response, outgoing, reused=exchange.reused):
        return _lost(exchange, "the answer is to another request")
    if not is_final_status(response.status):
        detail = f"the answer has status {response.status:03}, which no final answer has"
        return SendFailure(FailureKind.INVALID_STATUS, detail, exchange.reused)
    if outgoing.request_id and outgoing.echo.field not in response.headers:
        exchange.use_connection_once()
    framed = _ends_detectably(response, outgoing.method)
    if not framed and not outgoing.echo.required:
        return _lost(exchange, "the answer has no length and no chunks, so no certain end")
    body = await read_body(response, reservation)
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
    whole = body if isinstance(body, bytes) else b""
    return HeldAnswer(response.status, headers, whole, body, reservation)


def _joined(answer: HeldAnswer | Answer) -> Answer:
    """Return the answer with its body as one object, with its memory if it is large."""
    assert isinstance(answer, HeldAnswer)
    content = answer.content
    body = content.joined() if isinstance(content, PartedBody) else content
    joined = Answer(answer.status, answer.headers, body)
    if len(body) > SMALL_BYTES:
        finalize(joined, answer.reservation.release)
    else:
        answer.reservation.release()
    return joined


def _data(body: Content) -> bytes | BodyPayload | None:
    if len(body) > SMALL_BYTES:
        return BodyPayload(body)
    return body if isinstance(body, bytes) and body else None


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
