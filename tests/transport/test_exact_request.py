"""Tests that request targets go out byte for byte."""

from __future__ import annotations

import asyncio

import pytest
from multidict import CIMultiDict
from yarl import URL

from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import Pool
from flamingoladder.transport.sending import Outgoing
from flamingoladder.verdict import Answer

DEADLINE_S = 5.0
TARGETS = (
    "/a/?",
    "/a/b?",
    "/a/?x=1&&y",
    "/a/??",
    "/a/?x=%2f%2F",
    "/a//b/../c/./d",
    "/a/%7e%41;p=1",
    "/a/b+c?d+e",
    "/a/?x=1#y",
    "/a/'\"|^",
)


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
async def test_a_request_target_reaches_the_other_end_unchanged(target: str, method: str) -> None:
    """An empty query was dropped, so that targets ran another request than the caller's."""
    lines: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines.append(await reader.readline())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

    connections = Pool(1, keep=False, memory=MemoryBudget())
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        url = URL(f"http://127.0.0.1:{port}{target}", encoded=True)
        exchange = Exchange(asyncio.get_running_loop().time() + DEADLINE_S)
        outgoing = Outgoing(method, url, CIMultiDict(), b"", "", target=target)
        result = await connections.send(outgoing, exchange)
        await connections.retire()
    assert isinstance(result, Answer)
    assert lines == [f"{method} {target} HTTP/1.1\r\n".encode()]
