"""Tests that a caller's leaving is noticed, whatever it sent behind its request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from tests.transport.ports import LOOPBACK
from tests.transport.ports import daemon_port
from tests.transport.ports import entry_port
from tests.transport.ports import new_connections
from tests.transport.raw_requests import GET
from tests.transport.raw_requests import put
from tests.waiting import eventually

if TYPE_CHECKING:
    from tests.transport.ports import PortOf

WORK_S = 2.0
LEAVES_AFTER_S = 0.1
NOTICED_WITHIN_S = 0.5


CHUNKED_PUT = (
    b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    + 5 * (b"4e20\r\n" + bytes(20_000) + b"\r\n")
    + b"0\r\n\r\n"
)


class Requests:
    """What became of the requests: methods in the order of their begin, and of their ends."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.cancelled: list[str] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Work for some time, then read the body and answer with its size."""
        self.begun.append(request.method)
        try:
            await asyncio.sleep(WORK_S)
        except asyncio.CancelledError:
            self.cancelled.append(request.method)
            raise
        return web.Response(text=str(len(await request.read())))


@pytest.mark.parametrize("port_of", [entry_port, daemon_port])
@pytest.mark.parametrize(
    "behind",
    [b"", GET, put(24_000), put(100_000), CHUNKED_PUT, 40 * GET],
    ids=["nothing", "get", "short_put", "long_put", "chunked_put", "many_gets"],
)
async def test_a_caller_that_left_is_noticed(port_of: PortOf, behind: bytes) -> None:
    """Review, case 9: the body of a further request, unread, hid that the caller was gone."""
    requests = Requests()
    port = port_of(requests.handle, new_connections())
    number = await port.open(LOOPBACK, 0)
    _, writer = await asyncio.open_connection(LOOPBACK, number)
    writer.write(GET + behind)
    await eventually(lambda: requests.begun == ["GET"])
    await asyncio.sleep(LEAVES_AFTER_S)
    writer.transport.abort()
    await asyncio.sleep(NOTICED_WITHIN_S)
    assert (requests.begun, requests.cancelled) == (["GET"], ["GET"])
    await port.close()


@pytest.mark.parametrize("port_of", [entry_port, daemon_port])
async def test_a_caller_that_left_is_no_idle_connection(port_of: PortOf) -> None:
    """One whose request was cancelled stayed in the list, and was closed in place of a live one."""
    requests, connections = Requests(), new_connections()
    port = port_of(requests.handle, connections)
    number = await port.open(LOOPBACK, 0)
    _, leaving = await asyncio.open_connection(LOOPBACK, number)
    leaving.write(GET)
    await eventually(lambda: requests.begun == ["GET"])
    leaving.transport.abort()
    await eventually(lambda: requests.cancelled == ["GET"] and connections.count == 0)
    connections.max_connections = 1
    opened = [await asyncio.open_connection(LOOPBACK, number) for _ in range(2)]
    await eventually(lambda: connections.count == 1)
    for _, writer in opened:
        writer.close()
    await port.close()


@pytest.mark.parametrize("port_of", [entry_port, daemon_port])
@pytest.mark.parametrize("behind", [put(100_000), CHUNKED_PUT], ids=["long_put", "chunked_put"])
async def test_a_caller_that_stays_gets_all_answers(port_of: PortOf, behind: bytes) -> None:
    requests = Requests()
    port = port_of(requests.handle, new_connections())
    number = await port.open(LOOPBACK, 0)
    reader, writer = await asyncio.open_connection(LOOPBACK, number)
    writer.write(GET + behind)
    for size in (b"0", b"100000"):
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(len(size)) == size
    writer.close()
    await port.close()
    assert requests.cancelled == []
