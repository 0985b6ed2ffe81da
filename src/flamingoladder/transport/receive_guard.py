"""Guard of a connection against bytes that are no answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.transport.exchange import Exchange


class ReceiveGuard(asyncio.Protocol):
    """Stands between a connection and the protocol that parses its answers.

    It closes the connection when bytes come while no request waits for an answer, or when too many
    come that are no content, as in a head or in chunk extensions without end.
    """

    __slots__ = ("_parser", "_transport", "exchange")

    def __init__(self, parser: asyncio.Protocol, transport: asyncio.Transport) -> None:
        self._parser = parser
        self._transport = transport
        self.exchange: Exchange | None = None

    @classmethod
    def of(cls, transport: asyncio.Transport) -> ReceiveGuard:
        """Return the connection's guard; its first call puts it in place."""
        protocol = transport.get_protocol()
        if isinstance(protocol, cls):
            return protocol
        assert isinstance(protocol, asyncio.Protocol)
        guard = cls(protocol, transport)
        transport.set_protocol(guard)
        return guard

    def data_received(self, data: bytes) -> None:
        """Pass on what was received, unless it is too much."""
        if self.exchange is None or not self.exchange.accepts(len(data)):
            self._transport.abort()
            return
        self._parser.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass on the end of what is received."""
        return self._parser.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection."""
        self._parser.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the connection takes no more for now."""
        self._parser.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the connection takes more again."""
        self._parser.resume_writing()
