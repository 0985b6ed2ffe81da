"""Tests that an upload outlives a target that reads slowly, and that the bound then holds again.

The kernel's bound on unacknowledged data also ends a connection whose window stays closed, however
promptly the other end acknowledges each probe.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from multidict import CIMultiDict
from yarl import URL

from flamingoladder import fields
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import Pool
from flamingoladder.transport.sending import Outgoing
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from flamingoladder.transport.sending import SendFailure

LOOPBACK = "127.0.0.1"
REQUEST_ID = "r-1"
HEAD = f"HTTP/1.1 200 OK\r\n{fields.REQUEST_ID}: {REQUEST_ID}\r\nContent-Length: 5\r\n"
SILENCE_S = 1.0
DEADLINE_S = 8.0
RECEIVE_BUFFER_BYTES = 16_384
LARGE_BYTES = 1_000_000


@asynccontextmanager
async def target(pause_s: float, field: str = "") -> AsyncIterator[URL]:
    """Serve on sockets with small buffers, and read each body only after a pause."""

    async def serve(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        received = b""
        while True:
            while b"\r\n\r\n" not in received:
                part = await loop.sock_recv(connection, 2_048)
                if not part:
                    connection.close()
                    return
                received += part
            head, _, body = received.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await asyncio.sleep(pause_s)
            while len(body) < length:
                body += await loop.sock_recv(connection, 65_536)
            await loop.sock_sendall(connection, f"{HEAD}{field}\r\nhello".encode())
            received = b""

    async def accept() -> None:
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(listening)
            connection.setblocking(False)
            tasks.add(asyncio.create_task(serve(connection)))

    tasks: set[asyncio.Task[None]] = set()
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind((LOOPBACK, 0))
        listening.listen()
        listening.setblocking(False)
        accepting = asyncio.create_task(accept())
        yield URL(f"http://{LOOPBACK}:{listening.getsockname()[1]}/")
        for task in (accepting, *tasks):
            task.cancel()


async def upload(pool: Pool, url: URL, size: int) -> tuple[Answer | SendFailure, Exchange]:
    exchange = Exchange(asyncio.get_running_loop().time() + DEADLINE_S)
    outgoing = Outgoing("POST", url, CIMultiDict(), bytes(size), REQUEST_ID)
    return await pool.send(outgoing, exchange), exchange


def bound_ms(exchange: Exchange) -> int:
    assert exchange.transport is not None
    connection = exchange.transport.get_extra_info("socket")
    found: int = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    return found


@pytest.mark.parametrize(
    ("size", "pause_s"), [(1_000, 0.0), (LARGE_BYTES, 0.0), (LARGE_BYTES, 2.5 * SILENCE_S)]
)
async def test_an_upload_outlives_a_closed_window(size: int, pause_s: float) -> None:
    """Review, case 8: an upload was given up after a second in which its target read nothing."""
    pool = Pool(1, keep=True, memory=MemoryBudget(), silence_s=SILENCE_S)
    async with target(pause_s) as url:
        for _ in range(2):
            result, exchange = await upload(pool, url, size)
            assert isinstance(result, Answer)
            assert bound_ms(exchange) == SILENCE_S * 1_000
        assert exchange.reused
        await pool.retire()


async def test_the_bound_of_a_connection_that_is_closed_is_left_alone() -> None:
    pool = Pool(1, keep=True, memory=MemoryBudget(), silence_s=SILENCE_S)
    async with target(0.0, "Connection: close\r\n") as url:
        for _ in range(2):
            result, exchange = await upload(pool, url, LARGE_BYTES)
            assert isinstance(result, Answer)
            assert not exchange.reused
        await pool.retire()
