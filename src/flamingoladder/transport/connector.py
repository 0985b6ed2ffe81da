"""A connector that tells an exchange when it gets a connection, and gives it one only once."""

from __future__ import annotations

import socket
from contextvars import ContextVar
from functools import partial
from typing import TYPE_CHECKING
from weakref import WeakSet

import aiohttp

from flamingoladder.transport.exceptions import NotPermittedError
from flamingoladder.transport.exceptions import SecondSendError
from flamingoladder.transport.exceptions import UnusableConnectionError
from flamingoladder.transport.proof_of_life import bound_unacknowledged
from flamingoladder.transport.proof_of_life import require_acknowledgements
from flamingoladder.transport.receive_guard import ReceiveGuard

if TYPE_CHECKING:
    from asyncio import Transport

    from aiohttp import ClientRequest
    from aiohttp import ClientTimeout
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from flamingoladder.transport.exchange import Exchange

SILENCE_S = 3.0
# A body up to this size fits the other end's first window, so that its kernel acknowledges all of
# it. Beyond, an end that reads slowly closes its window, at times for seconds.
FIRST_WINDOW_BYTES = 16_384
CLOSED_WINDOW_S = 10.0

AddressInfo = tuple[
    int | socket.AddressFamily, int | socket.SocketKind, int, str, tuple[object, ...]
]

current_exchange: ContextVar[Exchange | None] = ContextVar("current_exchange", default=None)


class ExchangeConnector(aiohttp.TCPConnector):
    """Marks the current exchange as connected before a byte of its request can be written.

    aiohttp repeats a GET, PUT or DELETE whose connection is lost; here that is not its decision, so
    a second connection for one exchange is refused. A kept connection that holds bytes nobody
    asked for is closed, as they would pass for the answer to the next request.
    """

    def __init__(self, limit: int, *, keep_s: float | None, silence_s: float = SILENCE_S) -> None:
        def open_socket(address: AddressInfo) -> socket.socket:
            return _open_socket(address, silence_s)

        if keep_s is None:
            super().__init__(limit=limit, force_close=True, socket_factory=open_socket)
        else:
            super().__init__(limit=limit, keepalive_timeout=keep_s, socket_factory=open_socket)
        self._silence_s = silence_s
        self._used: WeakSet[Transport] = WeakSet()

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Return a connection for the current exchange.

        :raises NotPermittedError: if the last check refuses the request.
        :raises SecondSendError: if the exchange had a connection before.
        :raises UnusableConnectionError: if the other end closes new connections, or talks first.
        """
        exchange = current_exchange.get()
        if exchange is not None and exchange.connected:
            raise SecondSendError
        connection = await self._clean_connection(req, traces, timeout)
        if exchange is not None and not exchange.may_leave():
            connection.release()
            raise NotPermittedError
        if exchange is not None:
            exchange.note_connected()
            exchange.transport = connection.transport
            if connection.protocol is not None:
                exchange.connection_error = connection.protocol.exception
                exchange.forbid_reuse = connection.protocol.force_close
            exchange.reused = self._is_used(connection)
            _put_guard(exchange)
            self._allow_slow_reading(exchange)
        if connection.transport is not None:
            self._used.add(connection.transport)
        return connection

    async def _clean_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        while True:
            connection = await super().connect(req, traces, timeout)
            if connection.protocol is None or not connection.protocol.should_close:
                return connection
            was_used = self._is_used(connection)
            connection.close()
            if not was_used:
                raise UnusableConnectionError

    def _allow_slow_reading(self, exchange: Exchange) -> None:
        """Allow for a closed window while a large body is sent."""
        if exchange.transport is None or exchange.body_bytes <= FIRST_WINDOW_BYTES:
            return
        connection = exchange.transport.get_extra_info("socket")
        bound_unacknowledged(connection, max(self._silence_s, CLOSED_WINDOW_S))
        exchange.restore = partial(bound_unacknowledged, connection, self._silence_s)

    def _is_used(self, connection: Connection) -> bool:
        return connection.transport is None or connection.transport in self._used


def _put_guard(exchange: Exchange) -> None:
    if exchange.transport is None:
        return
    exchange.guard = ReceiveGuard.of(exchange.transport)
    exchange.guard.use_for(exchange.answer)


def _open_socket(address: AddressInfo, silence_s: float) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    require_acknowledgements(opened, silence_s)
    return opened
