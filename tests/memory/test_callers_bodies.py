"""Ends of callers' requests on real sockets; after each the budget is free again."""

from __future__ import annotations

import asyncio
import gc

import pytest
from aiohttp import web

from flamingoladder.memory.body import PartedBody
from flamingoladder.memory.body_reader import BodyReader
from flamingoladder.memory.budget import MIB
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.memory.caller_connections import CallerConnections
from flamingoladder.memory.events import MemoryEvents
from flamingoladder.memory.request_scope import is_worth_draining
from flamingoladder.memory.stalls import STALL_S
from flamingoladder.platform import callers
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.transport.port import Port
from flamingoladder.verdict import Refusal
from tests.waiting import eventually

MAX_BYTES = 4 * MIB
DEADLINE_S = 1.0


class Host:
    """A port that reads bodies and answers with their sizes."""

    def __init__(self) -> None:
        self.budget = MemoryBudget(8 * MIB)
        self._reader = BodyReader(self.budget)
        self.deadline_s = DEADLINE_S
        events = MemoryEvents(Recorder("h", "i"), lambda _kind, _reason: None)
        connections = CallerConnections(self.budget, events)
        self._port = Port.of_handler(self._handle, 65_536, 0.1, connections)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        deadline = asyncio.get_running_loop().time() + self.deadline_s
        read = await self._reader.read(request, MAX_BYTES, deadline, ())
        if isinstance(read, Refusal):
            response = callers.refusal_response(read, "")
        else:
            response = web.Response(text=f"{type(read[0]) is PartedBody} {len(read[0])}")
        if not is_worth_draining(request):
            response.force_close()
        return response

    async def start(self) -> int:
        return await self._port.open("127.0.0.1", 0)

    async def close(self) -> None:
        await self._port.close()


async def _send(port: int, head: str, body: bytes) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"POST / HTTP/1.1\r\nHost: h\r\n{head}\r\n\r\n".encode() + body)
        status = int((await reader.readline()).split()[1])
        content = (await reader.readuntil(b"\r\n\r\n")).lower()
        size = int(content.split(b"content-length: ")[1].split(b"\r\n")[0])
        return status, await reader.readexactly(size)
    finally:
        writer.transport.abort()


def _length(size: int) -> str:
    return f"Content-Length: {size}"


CHUNK = b"80000\r\n" + bytes(0x80000) + b"\r\n"
CHUNKED = "Transfer-Encoding: chunked"


@pytest.mark.parametrize(
    ("head", "body", "status", "content"),
    [
        (_length(0), b"", 200, b"False 0"),
        (_length(60_000), bytes(60_000), 200, b"False 60000"),
        (_length(3 * MIB), bytes(3 * MIB), 200, b"True 3145728"),
        (CHUNKED, b"5\r\nhello\r\n0\r\n\r\n", 200, b"False 5"),
        (CHUNKED, CHUNK * 4 + b"0\r\n\r\n", 200, b"True 2097152"),
        (CHUNKED, CHUNK * 20, 413, b"body_too_large"),
        (_length(5 * MIB), b"", 413, b"body_too_large"),
        (_length(3 * MIB), bytes(MIB), 408, b"body_incomplete"),
        (_length(60_000), bytes(10), 408, b"body_incomplete"),
        (CHUNKED, CHUNK, 408, b"body_incomplete"),
    ],
)
async def test_count_is_zero_after_each_end(
    head: str, body: bytes, status: int, content: bytes
) -> None:
    host = Host()
    port = await host.start()
    answered, text = await _send(port, head, body)
    assert answered == status
    assert content in text
    await eventually(lambda: gc.collect() >= 0 and host.budget.held_bytes == 0)
    await host.close()


@pytest.mark.parametrize("size", [60_000, 3 * MIB])
async def test_count_is_zero_after_a_caller_left_within_its_body(size: int) -> None:
    host = Host()
    host.deadline_s = 30.0
    port = await host.start()
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"POST / HTTP/1.1\r\nHost: h\r\n{_length(size)}\r\n\r\n".encode() + b"x")
    await eventually(lambda: host.budget.held_bytes >= size)
    writer.transport.abort()
    await eventually(lambda: host.budget.held_bytes == 0)
    await host.close()


async def test_a_body_without_room_is_refused_until_a_stalled_one_is_ended() -> None:
    host = Host()
    host.deadline_s = 30.0
    port = await host.start()
    stalled = [asyncio.create_task(_send(port, _length(MAX_BYTES - 9), b"x"))]
    await eventually(lambda: host.budget.held_bytes >= MAX_BYTES - 9)
    status, text = await _send(port, _length(MAX_BYTES), bytes(MAX_BYTES))
    assert (status, b"no_memory" in text) == (503, True)
    assert (await _send(port, _length(60_000), bytes(60_000)))[0] == 200
    await asyncio.sleep(STALL_S)
    status, text = await _send(port, _length(MAX_BYTES), bytes(MAX_BYTES))
    assert (status, text) == (200, b"True 4194304")
    assert (await stalled[0])[0] == 408
    await eventually(lambda: host.budget.held_bytes == 0)
    await host.close()
