"""Guard of one caller's connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.memory.idle_connection import IdleConnection
from flamingoladder.transport.lingering_transport import LingeringTransport

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.web_protocol import RequestHandler

    from flamingoladder.memory.caller_connections import CallerConnections

# Parsed input waits at most this long in a connection, twice over, before reading pauses.
READ_BUFFER_BYTES = 16_384
# What is read from a socket at once, before and after a request's head was judged.
FIRST_RECEIVE_BYTES = 16_384
BODY_RECEIVE_BYTES = 65_536
# The HTTP parser bounds each field, but not all of them together.
MAX_HEAD_BYTES = 1_048_576


class ConnectionGuard(IdleConnection):
    """Stands between a caller's connection and the protocol that parses its requests.

    It counts the bytes that came and that no request has asked for yet, and drops those that come
    after the protocol has closed the connection.
    """

    __slots__ = ("_connections", "_content", "_lingering", "_protocol", "_unread_bytes")

    def __init__(self, protocol: RequestHandler, connections: CallerConnections) -> None:
        super().__init__()
        self._protocol = protocol
        self._connections = connections
        self._unread_bytes = 0
        self._content: StreamReader | None = None
        self._lingering: LingeringTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, which may close another."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.client = str((transport.get_extra_info("peername") or ("",))[0])
        self._receive_at_once(FIRST_RECEIVE_BYTES)
        self._lingering = LingeringTransport(transport)
        self._protocol.connection_made(self._lingering)
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Pass on what was received, and count it until a request asks for it."""
        size = len(data)
        if self._lingering is not None and self._lingering.is_lingering:
            self.forget_unread()
            self._lingering.discard(size)
            return
        if self._content is not None:
            if self._content.is_eof():
                # The next request of a caller that doesn't wait for answers.
                self._count_unread(size)
            self._protocol.data_received(data)
            return
        if not self.has_head:
            self.has_head = True
            self._connections.note_head(self)
        self.head_bytes += size
        self._count_unread(size)
        if self.head_bytes > MAX_HEAD_BYTES:
            self._connections.close(self, "head_too_large")
            return
        self._protocol.data_received(data)
        if not self._connections.budget.may_buffer:
            self._connections.shorten_unread(self)

    def eof_received(self) -> bool | None:
        """Pass on the end of what is received."""
        self._protocol.eof_received()
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection."""
        if self._lingering is not None:
            self._lingering.note_closed()
        self.forget_unread()
        self.transport = None
        self._connections.remove(self)
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the connection takes no more for now."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the connection takes more again."""
        self._protocol.resume_writing()

    def begin_request(self, content: StreamReader) -> None:
        """Note that a request's head is whole, and that its body is read from now on."""
        self._content = content
        self.has_head = False
        self.head_bytes = 0
        self.forget_unread()
        self._connections.note_busy(self)

    def expect_body(self) -> None:
        """Read more at once, as the rest of a body was admitted."""
        self._receive_at_once(BODY_RECEIVE_BYTES)

    def end_request(self) -> None:
        """Note that the answer is written, or that the connection was lost before."""
        self._content = None
        if self.transport is None:
            return
        self._receive_at_once(FIRST_RECEIVE_BYTES)
        self._connections.note_idle(self)

    def forget_unread(self) -> None:
        """Count the unread bytes no more."""
        if self._unread_bytes:
            self._connections.budget.count_unread(-self._unread_bytes)
            self._unread_bytes = 0

    def _count_unread(self, size: int) -> None:
        self._unread_bytes += size
        self._connections.budget.count_unread(size)

    def _receive_at_once(self, size: int) -> None:
        # The selector transports of asyncio name their receive size so; TLS ones have none.
        if hasattr(self.transport, "max_size"):
            setattr(self.transport, "max_size", size)  # noqa: B010


def guard_of(transport: asyncio.BaseTransport | None) -> ConnectionGuard | None:
    """Return the guard of a caller's connection, or None if it has none."""
    protocol = None if transport is None else transport.get_protocol()
    return protocol if isinstance(protocol, ConnectionGuard) else None
