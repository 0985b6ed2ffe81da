"""A small TCP relay for tests, which cuts, stalls, refuses and spoils connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

CHUNK_BYTES = 65_536
LOOPBACK = "127.0.0.1"
LINGER_ZERO = struct.pack("ii", 1, 0)
REPEAT_AFTER_S = 0.05


class AnswerFault(Enum):
    """What becomes of answers: a second copy comes late, or the second half never comes."""

    REPEAT = "repeat"
    HALVE = "halve"


class Relay:
    """Forwards connections on a port of its own to ``target_address:target_port``."""

    __slots__ = (
        "_connections",
        "_server",
        "_target_address",
        "_target_port",
        "address",
        "answer_fault",
        "is_silent",
        "port",
    )

    def __init__(self, target_address: str, target_port: int) -> None:
        self.address = LOOPBACK
        self.port = 0
        self._target_address = target_address
        self._target_port = target_port
        self.answer_fault: AnswerFault | None = None
        self.is_silent = False
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def url(self) -> str:
        """Return the base URL for HTTP through this relay."""
        return f"http://{self.address}:{self.port}"

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, stalled ones included."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self._accept, self.address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def refuse(self) -> None:
        """Refuse new connections until the next start; open ones stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def cut(self) -> None:
        """Reset all open connections."""
        for connection in self._connections:
            connection.reset()

    def stall(self) -> None:
        """Make all open connections silent for good, in both directions."""
        for connection in self._connections:
            connection.requests_stalled = True
            connection.answers_stalled = True

    def silence(self) -> None:
        """Make open connections silent for good, and new ones until ``is_silent`` is unset."""
        self.is_silent = True
        self.stall()

    def stall_answers(self) -> None:
        """Make all open connections silent towards the caller only."""
        for connection in self._connections:
            connection.answers_stalled = True

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        await self.refuse()
        self.cut()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target_address, self._target_port
            )
        except OSError:
            _reset(writer)
            return
        connection = _Connection(self, writer, far_writer)
        connection.requests_stalled = connection.answers_stalled = self.is_silent
        self._connections.add(connection)
        try:
            await connection.forward(reader, far_reader)
        finally:
            self._connections.discard(connection)


class _Connection:
    """A caller's connection and its continuation to the target."""

    __slots__ = ("_ended", "_far", "_near", "_relay", "answers_stalled", "requests_stalled")

    def __init__(self, relay: Relay, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self._relay = relay
        self._near = near
        self._far = far
        self._ended = asyncio.Event()
        self.requests_stalled = False
        self.answers_stalled = False

    async def forward(
        self, near_reader: asyncio.StreamReader, far_reader: asyncio.StreamReader
    ) -> None:
        """Copy in both directions until one side closes or the connection is reset."""
        copies = [
            asyncio.create_task(self._copy_requests(near_reader)),
            asyncio.create_task(self._copy_answers(far_reader)),
        ]
        try:
            await self._ended.wait()
        finally:
            for copy in copies:
                copy.cancel()
            self._near.close()
            self._far.close()

    def reset(self) -> None:
        """Reset both sides."""
        _reset(self._near)
        _reset(self._far)
        self._ended.set()

    async def _copy_requests(self, reader: asyncio.StreamReader) -> None:
        while chunk := await _read(reader):
            if self.requests_stalled:
                return
            self._far.write(chunk)
        self._end(self.requests_stalled)

    async def _copy_answers(self, reader: asyncio.StreamReader) -> None:
        while chunk := await _read(reader):
            if self.answers_stalled:
                return
            if self._relay.answer_fault is AnswerFault.HALVE:
                self._near.write(chunk[: len(chunk) // 2])
                break
            self._near.write(chunk)
            if self._relay.answer_fault is AnswerFault.REPEAT:
                asyncio.get_running_loop().call_later(REPEAT_AFTER_S, self._repeat, chunk)
        self._end(self.answers_stalled)

    def _repeat(self, chunk: bytes) -> None:
        if not self._near.is_closing():
            self._near.write(chunk)

    def _end(self, stalled: bool) -> None:
        if not stalled:
            self._ended.set()


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(CHUNK_BYTES)
    except OSError:
        return b""


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
