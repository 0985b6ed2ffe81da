"""Servers whose bytes are no answer, and come until the caller closes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from itertools import chain
from itertools import repeat
from typing import TYPE_CHECKING

import msgspec
from yarl import URL

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PART_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Flood(msgspec.Struct, frozen=True):
    """What a server sends: ``start``, then ``part`` again and again."""

    start: bytes
    part: bytes


# Bytes that are no content of an answer, each at another place of it.
OTHER_FLOODS = (
    Flood(b"", b"\r\n"),
    Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    Flood(b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    Flood(b"", b"no answer"),
    Flood(b"HTTP/1.1 200 ", b"O"),
    Flood(HEAD + b"A: ", b"a"),
    Flood(HEAD, b"A: a\r\n"),
    Flood(CHUNKED_HEAD, b"0"),
    Flood(CHUNKED_HEAD + b"5;", b"e"),
    Flood(CHUNKED_HEAD + b"0\r\n", b"T: t\r\n"),
    Flood(CHUNKED_HEAD, b"1;eeeeeeeeeeeeeeee\r\nx\r\n"),
    Flood(CHUNKED_HEAD, b"1\r\nx\r\n"),
)
BODY_FLOODS = (
    Flood(CHUNKED_HEAD, b"10000\r\n" + bytes(0x10000) + b"\r\n"),
    Flood(HEAD + b"Content-Length: 99999999999\r\n\r\n", bytes(PART_BYTES)),
)


class FloodingServer:
    """Answers each request with a flood until the caller closes; ``closed`` is set then."""

    def __init__(self, flood: Flood) -> None:
        self._start = flood.start
        self._part = flood.part * max(1, PART_BYTES // len(flood.part))
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[URL]:
        """Listen on the loopback address, and return the base URL."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        try:
            yield URL("http://{}:{}/".format(*server.sockets[0].getsockname()[:2]))
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for part in chain([self._start], repeat(self._part)):
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        writer.close()
