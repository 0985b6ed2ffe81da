"""Tests that callers get the last answer of a connection whole, whatever they sent behind it.

A socket that is closed over unread input, or gets more input after its close, resets the
connection, and the answer that the kernel still holds for the caller is gone.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from tests.transport.ports import LOOPBACK
from tests.transport.ports import daemon_port
from tests.transport.ports import entry_port
from tests.transport.ports import new_connections
from tests.transport.raw_requests import GET
from tests.transport.raw_requests import put

if TYPE_CHECKING:
    from tests.transport.ports import PortOf

WORK_S = 0.1
ANSWER_BYTES = 400_000
# A caller with a small window that reads 2 MB a second.
RECEIVE_BUFFER_BYTES = 16_384
READ_BYTES = 8_192
READ_PER_S = 2_000_000
FURTHER_GAP_S = 0.005
MAX_FURTHER = 60


async def answer_and_close(request: web.BaseRequest) -> web.StreamResponse:
    """Answer as a host that leaves does, or refuse a body that is too large."""
    if request.method == "GET":
        await asyncio.sleep(WORK_S)
    response = web.Response(body=bytes(ANSWER_BYTES))
    response.force_close()
    return response


class Caller:
    """Sends requests on one connection, and reads the answer to the first one slowly."""

    def __init__(self, port: int, first: bytes, behind: bytes) -> None:
        self._port = port
        self._first = first
        self._behind = behind
        self._has_head = False
        self._connection = socket.socket()
        self._connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._connection.setblocking(False)

    async def missing_bytes(self) -> int:
        """Return how many bytes of the answer to the first request never came."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._connection, (LOOPBACK, self._port))
        sending = asyncio.create_task(self._send())
        try:
            return await self._read()
        finally:
            sending.cancel()
            self._connection.close()

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._connection, self._first)
        for _ in range(MAX_FURTHER if self._behind else 0):
            await asyncio.sleep(FURTHER_GAP_S)
            if self._has_head:
                return
            await loop.sock_sendall(self._connection, self._behind)

    async def _read(self) -> int:
        loop = asyncio.get_running_loop()
        received, missing = b"", 1
        while missing > 0:
            try:
                part = await loop.sock_recv(self._connection, READ_BYTES)
            except ConnectionError:
                return missing
            if not part:
                return missing
            received += part
            head, separator, body = received.partition(b"\r\n\r\n")
            if separator:
                await asyncio.sleep(len(part) / READ_PER_S)
                self._has_head = True
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
                missing = int(length) - len(body)
        return missing


@pytest.mark.parametrize("port_of", [entry_port, daemon_port])
@pytest.mark.parametrize(
    ("first", "behind"),
    [
        (GET, b""),
        (GET, GET),
        (GET + GET, b""),
        (GET + put(100_000), b""),
        (GET, b"x" * 10_000),
        (GET + b"no request at all\r\n\r\n", GET),
        (put(200_000), b""),
    ],
    ids=[
        "nothing",
        "further_gets",
        "get_in_one_packet",
        "put_in_one_packet",
        "long_heads",
        "garbage",
        "unread_body",
    ],
)
async def test_a_closing_answer_arrives_whole(port_of: PortOf, first: bytes, behind: bytes) -> None:
    port = port_of(answer_and_close, new_connections())
    number = await port.open(LOOPBACK, 0)
    callers = [Caller(number, first, behind) for _ in range(8)]
    missing = await asyncio.gather(*(caller.missing_bytes() for caller in callers))
    await port.close()
    assert missing == [0] * len(callers)
