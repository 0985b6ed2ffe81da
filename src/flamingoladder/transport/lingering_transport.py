"""The transport of callers' connections, which closes gently and notices callers that left."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from flamingoladder.transport.close_watch import CloseWatch

if TYPE_CHECKING:
    from collections.abc import Iterable

# Callers read an answer at their own pace, and send until they have seen its head.
LINGER_S = 5.0
# TLS can't end one direction alone: the caller learns of the close only after this time.
TLS_LINGER_S = 0.5
# What a caller sends on is discarded up to this size, which bounds the work of many such callers.
LINGER_BYTES = 262_144


class LingeringTransport(asyncio.Transport):
    """The transport of a caller's connection, as the protocol that parses its requests sees it.

    A socket that is closed over unread input, or gets input after its close, resets its
    connection, and what the kernel still holds for the caller is lost. So ``close`` ends only the
    direction to the caller, once everything is written; what the caller still sends is to be
    discarded until it closes its end, or for ``LINGER_S``.

    While reading is paused, a caller's close is noticed all the same.
    """

    __slots__ = ("_bytes_left", "_close_watch", "_socket_transport", "_timer", "is_lingering")

    def __init__(self, socket_transport: asyncio.Transport) -> None:
        super().__init__()
        self._socket_transport = socket_transport
        self._close_watch: CloseWatch | None = None  # Most connections need none.
        self._timer: asyncio.TimerHandle | None = None
        self._bytes_left = LINGER_BYTES
        self.is_lingering = False

    def close(self) -> None:
        """Write what is left, then wait for the caller's end of the connection to close."""
        if self.is_closing():
            return
        self.is_lingering = True
        # Reading stops while further requests wait; the caller's end would not be noticed.
        self.resume_reading()
        can_end_one_direction = self._socket_transport.can_write_eof()
        if can_end_one_direction:
            self._socket_transport.write_eof()
        self._schedule(LINGER_S if can_end_one_direction else TLS_LINGER_S)

    def discard(self, size: int) -> None:
        """Count what the caller sent after the close; beyond ``LINGER_BYTES`` close the socket."""
        self._bytes_left -= size
        if self._bytes_left < 0:
            self._socket_transport.close()

    def note_closed(self) -> None:
        """Cancel what is scheduled, as the connection is closed."""
        if self._close_watch is not None:
            self._close_watch.close()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self) -> None:
        """Close the socket at once."""
        self._socket_transport.abort()

    def is_closing(self) -> bool:
        """Return whether the transport is closed or lingers."""
        return self.is_lingering or self._socket_transport.is_closing()

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        """Write, unless the transport is closing."""
        if not self.is_lingering:
            self._socket_transport.write(data)

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview[Any]]) -> None:
        """Write all parts, unless the transport is closing."""
        if not self.is_lingering:
            self._socket_transport.writelines(list_of_data)

    def write_eof(self) -> None:
        """End the direction to the caller once everything is written."""
        self._socket_transport.write_eof()

    def can_write_eof(self) -> bool:
        """Return whether one direction can be ended alone."""
        return self._socket_transport.can_write_eof()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self._socket_transport.get_extra_info(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of the socket's transport."""
        return self._socket_transport.get_protocol()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol of the socket's transport."""
        self._socket_transport.set_protocol(protocol)

    def is_reading(self) -> bool:
        """Return whether the socket is read."""
        return self._socket_transport.is_reading()

    def pause_reading(self) -> None:
        """Stop reading, unless the transport is closing."""
        if self.is_closing():
            return
        self._socket_transport.pause_reading()
        if self._close_watch is None:
            self._close_watch = CloseWatch(self._socket_transport, self._socket_transport.abort)
        self._close_watch.start()

    def resume_reading(self) -> None:
        """Read on."""
        if self._close_watch is not None:
            self._close_watch.stop()
        self._socket_transport.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Return how many bytes are not yet with the kernel."""
        return self._socket_transport.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the limits of the write buffer, low and high."""
        return self._socket_transport.get_write_buffer_limits()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits of the write buffer."""
        self._socket_transport.set_write_buffer_limits(high, low)

    def _schedule(self, delay_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._expire)

    def _expire(self) -> None:
        if self._socket_transport.get_write_buffer_size():
            # A caller that reads slowly; one that acknowledges nothing is ended by the kernel.
            self._schedule(LINGER_S)
        else:
            self._socket_transport.close()
