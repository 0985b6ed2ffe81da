"""Clients that send large bodies, read answers slowly or never end their heads."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform import headers
from flamingoladder.standins.processes import LOOPBACK
from tests.crowds.crowded_host import KEY

if TYPE_CHECKING:
    from collections.abc import Iterator

PART = bytes(64 * 1_024)
SLOW_READ_BYTES = 4_096
SLOW_READ_PAUSE_S = 0.1
RECEIVE_BUFFER_BYTES = 16_384


class Clients(msgspec.Struct, frozen=True):
    """A number of like clients; each holds its connection until it is cancelled.

    ``body_bytes`` are declared and ``missing_bytes`` of them not sent. ``answer_bytes`` is the
    size of the answer, which is read slowly. Heads without an end have ``ends_head`` unset.
    """

    count: int
    body_bytes: int = 0
    missing_bytes: int = 0
    answer_bytes: int = 0
    chunked: bool = False
    key: str | None = KEY
    ends_head: bool = True

    async def run(self, port: int, number: int) -> None:
        """Send what the client has to send, then hold the connection until it is closed."""
        with contextlib.suppress(OSError):
            await self._run(port, number)

    async def _run(self, port: int, number: int) -> None:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (LOOPBACK, port))
        reader, writer = await asyncio.open_connection(sock=connection, limit=SLOW_READ_BYTES)
        try:
            writer.write(self._head(number))
            for part in self._parts():
                writer.write(part)
                await writer.drain()
            received = PART
            while received:
                received = await reader.read(SLOW_READ_BYTES)
                await asyncio.sleep(SLOW_READ_PAUSE_S)
        finally:
            writer.transport.abort()

    def _head(self, number: int) -> bytes:
        query = f"?bytes={self.answer_bytes}" if self.answer_bytes else ""
        lines = [f"POST /kit/{number}{query} HTTP/1.1", "Host: rental.example"]
        lines.append(f"{headers.REQUEST_ID}: r-{number}")
        if self.key is not None:
            lines.append(f"{headers.API_KEY}: {self.key}")
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif self.body_bytes:
            lines.append(f"Content-Length: {self.body_bytes}")
        end = "\r\n\r\n" if self.ends_head else "\r\n"
        return ("\r\n".join(lines) + end).encode()

    def _parts(self) -> Iterator[bytes]:
        left = self.body_bytes - self.missing_bytes
        while left > 0:
            part = PART[:left]
            left -= len(part)
            yield f"{len(part):x}\r\n".encode() + part + b"\r\n" if self.chunked else part
        if self.chunked and not self.missing_bytes:
            yield b"0\r\n\r\n"
