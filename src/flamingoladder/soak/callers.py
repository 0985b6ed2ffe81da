"""Callers that send a mix of reads and bookings until they are stopped."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.platform import headers
from flamingoladder.soak.caller_connection import CallerConnection
from flamingoladder.soak.history import End
from flamingoladder.soak.history import Sent

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.entry.settings import Endpoint
    from flamingoladder.soak.caller_connection import RawAnswer
    from flamingoladder.soak.history import History

OBJECTS = 24
PATIENCE_S = 2.0
# After its patience a caller listens on for what it can still learn.
SILENCE_S = 3.0
MEAN_PAUSE_S = 0.15
RECONNECT_PAUSE_S = 0.05
BOOKING_FRACTION = 0.4
NEW_CONNECTION_FRACTION = 0.2
MAX_BODY_BYTES = 40_000
OK = 200


class _RefusalBody(msgspec.Struct):
    verdict: str = ""


_refusal_decoder = Decoder.of_json(_RefusalBody)


class Call(msgspec.Struct, frozen=True):
    """A request to send; ``number`` names its object. With a body it is a booking."""

    request_id: str
    workspace: str
    key: str
    path: str
    number: int
    body: bytes = b""


class Callers:
    """Callers with keys of several workspaces; ``keys_by_workspace`` may change meanwhile."""

    __slots__ = ("_addresses_by_host", "_count", "_history", "_random", "keys_by_workspace")

    def __init__(
        self,
        addresses_by_host: dict[str, Endpoint],
        keys_by_workspace: dict[str, list[str]],
        history: History,
        random: Random,
    ) -> None:
        self._addresses_by_host = addresses_by_host
        self._history = history
        self._random = random
        self._count = 0
        self.keys_by_workspace = keys_by_workspace

    async def run(self) -> None:
        """Send one request after the other, on a kept connection for as long as it is open."""
        connection: CallerConnection | None = None
        while True:
            await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            is_renewed = self._random.random() < NEW_CONNECTION_FRACTION
            if connection is not None and (is_renewed or not connection.is_open):
                connection.close()
                connection = None
            connection = connection or await self._connected()
            if connection is not None and not await self._send(connection):
                connection.close()
                connection = None

    async def _connected(self) -> CallerConnection | None:
        host = self._random.choice(list(self._addresses_by_host))
        address = self._addresses_by_host[host]
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await CallerConnection.open(host, address.address, address.port)
        except OSError:
            await asyncio.sleep(RECONNECT_PAUSE_S)
            return None

    async def _send(self, connection: CallerConnection) -> bool:
        """Send a request, and return whether the connection may be used again."""
        self._count += 1
        request_id = f"r-{self._count}"
        workspace = self._random.choice(list(self.keys_by_workspace))
        key = self._random.choice(self.keys_by_workspace[workspace])
        is_booking = self._random.random() < BOOKING_FRACTION
        body = _body(request_id, self._random) if is_booking else b""
        number = self._random.randrange(OBJECTS)
        path = f"/bookings/{number}" if is_booking else f"/kit/{number}?for={request_id}"
        call = Call(request_id, workspace, key, path, number, body)
        return await send_once(connection, call, self._history)


async def send_once(connection: CallerConnection, call: Call, history: History) -> bool:
    """Send a request, note its end, and return whether the connection may be used again."""
    reused, sent_at = connection.used, asyncio.get_running_loop().time()
    answer: RawAnswer | None = None
    try:
        async with asyncio.timeout(SILENCE_S):
            answer = await connection.exchange(_bytes_of(call))
        end = End.ANSWERED
    except TimeoutError:
        end = End.SILENT
    except (OSError, EOFError, ValueError, IndexError, asyncio.LimitOverrunError):
        end = End.CUT
    history.sent.append(
        Sent(
            request_id=call.request_id,
            host=connection.host,
            workspace=call.workspace,
            key=call.key,
            is_booking=bool(call.body),
            sent_at=sent_at,
            ended_at=asyncio.get_running_loop().time(),
            end=end,
            status=0 if answer is None else answer.status,
            verdict=_verdict(answer),
            is_own=_is_own(answer, call.request_id, call.body or call.path.encode()),
            reused=reused,
        )
    )
    return answer is not None and not answer.closes


def _body(request_id: str, random: Random) -> bytes:
    return request_id.encode().ljust(random.randrange(20, MAX_BODY_BYTES), b".")


def _bytes_of(call: Call) -> bytes:
    lines = [
        f"{'POST' if call.body else 'GET'} {call.path} HTTP/1.1",
        "Host: rental.example",
        f"Cookie: {headers.AFFINITY_COOKIE}={call.number}",
        f"{headers.REQUEST_ID}: {call.request_id}",
        f"{headers.DEADLINE_MS}: {int(PATIENCE_S * 1_000)}",
        f"{headers.API_KEY}: {call.key}",
        f"Content-Length: {len(call.body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + call.body


def _is_own(answer: RawAnswer | None, request_id: str, expected: bytes) -> bool:
    if answer is None:
        return False
    echoed = answer.headers.get(headers.REQUEST_ID.lower())
    is_signed = headers.SIGNATURE.lower() in answer.headers
    return is_signed and echoed == request_id and answer.body == expected


def _verdict(answer: RawAnswer | None) -> str:
    if answer is None or answer.status == OK:
        return ""
    try:
        return _refusal_decoder.decode(answer.body).verdict
    except MalformedValueError:
        return ""
