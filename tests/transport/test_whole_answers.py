"""Tests that an answer is taken for whole only by its own framing, however it comes in pieces."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from contextlib import suppress
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import pytest
from multidict import CIMultiDict
from yarl import URL

from flamingoladder import fields
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import Pool
from flamingoladder.transport.sending import EchoRule
from flamingoladder.transport.sending import Outgoing
from flamingoladder.transport.sending import SendFailure
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

REQUEST_ID = "r-1"
HEAD = f"HTTP/1.1 200 OK\r\n{fields.REQUEST_ID}: {REQUEST_ID}\r\n".encode()
DEADLINE_S = 5.0
HANGING_DEADLINE_S = 0.3
# Writes that reach the other end apart.
PAUSE_S = 0.002
RESET_AT_ONCE = struct.pack("ii", 1, 0)
SIZES = (0, 1, 4_095, 4_096, 26_000, 131_072, 300_000, 1_000_000, 5_000_000)


class Framing(Enum):
    """How an answer tells its length."""

    LENGTH = "length"
    CHUNKED = "chunked"
    NONE = "none"


class End(Enum):
    """How a connection ends after the last byte that is written."""

    CLOSED = "closed"
    RESET = "reset"
    HANGS = "hangs"


def encode(framing: Framing, body: bytes) -> bytes:
    if framing is Framing.LENGTH:
        return HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    if framing is Framing.NONE:
        return HEAD + b"Connection: close\r\n\r\n" + body
    parts = [HEAD, b"Transfer-Encoding: chunked\r\n\r\n"]
    for start in range(0, len(body), 65_536):
        chunk = body[start : start + 65_536]
        parts += [f"{len(chunk):x}\r\n".encode(), chunk, b"\r\n"]
    return b"".join([*parts, b"0\r\n\r\n"])


@asynccontextmanager
async def target(pieces: Sequence[bytes], end: End) -> AsyncIterator[URL]:
    """Serve one answer in pieces on each connection."""

    served: set[asyncio.Task[None] | None] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served.add(asyncio.current_task())
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
            if end is End.RESET:
                opened = writer.get_extra_info("socket")
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
                writer.transport.abort()
            elif end is End.CLOSED:
                writer.write_eof()
            await reader.read()
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield URL(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/")
        await asyncio.wait_for(asyncio.gather(*filter(None, served)), DEADLINE_S)


async def ask(url: URL, deadline_s: float = DEADLINE_S) -> Answer | SendFailure:
    connections = Pool(4, keep=True, memory=MemoryBudget())
    exchange = Exchange(asyncio.get_running_loop().time() + deadline_s)
    echo = EchoRule(fields.REQUEST_ID, required=True)
    outgoing = Outgoing("GET", url, CIMultiDict(), b"", REQUEST_ID, echo)
    try:
        return await connections.send(outgoing, exchange)
    finally:
        await connections.retire()


def pieces_of(content: bytes, draw: Random) -> list[bytes]:
    cuts = sorted(draw.randrange(len(content) + 1) for _ in range(draw.randrange(8)))
    if draw.random() < 0.5:
        # As a server does that sends the top of a page before it has the rest.
        cuts = sorted(min(len(content), draw.randrange(30_000)) for _ in range(6))
    return [
        content[start:end] for start, end in zip([0, *cuts], [*cuts, len(content)], strict=True)
    ]


@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("size", SIZES)
async def test_sound_answers_are_whole_in_any_pieces(framing: Framing, size: int) -> None:
    """Cut answers without a length were passed on as whole, and sound ones replaced by 502."""
    draw = Random(f"{framing} {size}")
    body = draw.randbytes(size)
    for _ in range(4):
        async with target(pieces_of(encode(framing, body), draw), End.CLOSED) as url:
            result = await ask(url)
        assert isinstance(result, Answer), result
        assert result.body == body


# An answer without a length is whole if its connection is closed in order.
BROKEN = [(framing, end) for framing in Framing for end in End]
BROKEN.remove((Framing.NONE, End.CLOSED))


@pytest.mark.parametrize(("framing", "end"), BROKEN)
@pytest.mark.parametrize("size", [100, 26_000, 300_000, 1_000_000])
async def test_answers_that_break_off_are_never_whole(
    framing: Framing, end: End, size: int
) -> None:
    draw = Random(f"{framing} {end} {size}")
    content = encode(framing, draw.randbytes(size))
    head_bytes = content.index(b"\r\n\r\n") + 4
    for _ in range(3):
        kept = content[: draw.randrange(head_bytes, len(content) - 1)]
        async with target(pieces_of(kept, draw), end) as url:
            result = await ask(url, HANGING_DEADLINE_S if end is End.HANGS else DEADLINE_S)
        assert isinstance(result, SendFailure), result


async def test_a_connection_that_this_host_closes_makes_no_answer_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clients got "200", signed and with a length, and a body that ended in the middle."""
    content = encode(Framing.NONE, bytes(300_000))
    monkeypatch.setattr("flamingoladder.transport.receive_guard.MAX_UNPARSED_BYTES", 20_000)
    async with target([content[:15_000], content[15_000:]], End.CLOSED) as url:
        result = await ask(url)
    assert isinstance(result, SendFailure), result
