"""One listening HTTP port."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from flamingoladder.memory.connection_guard import READ_BUFFER_BYTES
from flamingoladder.memory.connection_guard import ConnectionGuard
from flamingoladder.memory.request_scope import in_scope
from flamingoladder.transport.proof_of_life import require_acknowledgements

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from ssl import SSLContext

    from flamingoladder.memory.caller_connections import CallerConnections

    Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

BACKLOG = 1_024
# asyncio accepts as many connections as its backlog in one turn, before any of them can be closed.
ACCEPTED_AT_ONCE = 32
CALLER_SILENCE_S = 10.0
IDLE_S = 75.0
LISTEN_RETRY_S = 0.2
LISTEN_TRIES = 25
# What the kernel holds for a connection that is not read, or whose caller reads slowly. Links of
# 100 Mbit/s to callers 3 ms away need 75 KB under way.
RECEIVE_BUFFER_BYTES = 131_072
SEND_BUFFER_BYTES = 262_144

SERVER_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "auto_decompress": False,
    "handler_cancellation": True,
    "keepalive_timeout": IDLE_S,
    "read_bufsize": READ_BUFFER_BYTES,
}


class Port:
    """A port with its handler or application.

    ``max_field_bytes`` bounds the request line and each header field, ``close_timeout_s`` how long
    a close waits for requests in progress. ``connections`` bounds the connections of a port that
    is open to all callers.
    """

    __slots__ = ("_connections", "_runner", "_site")

    def __init__(
        self, runner: web.BaseRunner, connections: CallerConnections | None = None
    ) -> None:
        self._runner = runner
        self._connections = connections
        self._site: web.SockSite | None = None

    @classmethod
    def of_handler(
        cls,
        handle: Handle,
        max_field_bytes: int,
        close_timeout_s: float,
        connections: CallerConnections | None = None,
    ) -> Port:
        """Return a port whose requests all go to one handler."""

        async def handle_in_scope(request: web.BaseRequest) -> web.StreamResponse:
            return await in_scope(request, handle)

        server = web.Server(
            handle if connections is None else handle_in_scope,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
            **SERVER_OPTIONS,
        )
        return cls(web.ServerRunner(server, shutdown_timeout=close_timeout_s), connections)

    @classmethod
    def of_application(
        cls,
        application: web.Application,
        max_field_bytes: int,
        max_fields: int,
        close_timeout_s: float,
        connections: CallerConnections | None = None,
    ) -> Port:
        """Return a port of an application that takes up to ``max_fields`` header fields."""
        if connections is not None:
            application.middlewares.append(web.middleware(_scoped))
        runner = web.AppRunner(
            application,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
            max_headers=max_fields,
            shutdown_timeout=close_timeout_s,
            **SERVER_OPTIONS,
        )
        return cls(runner, connections)

    async def open(self, address: str, port: int, ssl_context: SSLContext | None = None) -> int:
        """Listen, and return the port in use; it differs from ``port`` if that is 0.

        A port that another process has just left is tried again for some seconds.

        :raises OSError: if the port can't be had.
        """
        await self._runner.setup()
        listening = await _listening(address, port)
        require_acknowledgements(listening, CALLER_SILENCE_S)
        if self._connections is not None:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._site = _GuardedSite(
            self._runner, listening, self._connections, ssl_context=ssl_context, backlog=BACKLOG
        )
        await self._site.start()
        in_use: int = listening.getsockname()[1]
        return in_use

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open stay."""
        if self._site is not None:
            await self._site.stop()

    async def close(self, drain_timeout_s: float = 0.0) -> int:
        """Close all connections, once their callers have taken what was written to them.

        Return how many answers were cut, as their callers had not after ``drain_timeout_s``.
        """
        await self._runner.cleanup()
        if self._connections is None:
            return 0
        await self._connections.wait_until_closed(drain_timeout_s)
        return self._connections.abort_idle()


class _GuardedSite(web.SockSite):
    """A listening socket whose connections each have a guard, if they are counted."""

    __slots__ = ("_connections",)

    def __init__(
        self,
        runner: web.BaseRunner,
        listening: socket.socket,
        connections: CallerConnections | None,
        *,
        ssl_context: SSLContext | None,
        backlog: int,
    ) -> None:
        super().__init__(runner, listening, ssl_context=ssl_context, backlog=backlog)
        self._connections = connections

    async def start(self) -> None:
        """Listen."""
        connections = self._connections
        if connections is None:
            await super().start()
            return
        await web.BaseSite.start(self)
        server = self._runner.server
        assert server is not None
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ConnectionGuard(server(), connections),
            sock=self._sock,
            ssl=self._ssl_context,
            backlog=ACCEPTED_AT_ONCE,
        )
        self._sock.listen(self._backlog)


async def _scoped(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    async def handle_request(_: web.BaseRequest) -> web.StreamResponse:
        return await handler(request)

    return await in_scope(request, handle_request)


async def _listening(address: str, port: int) -> socket.socket:
    for _ in range(LISTEN_TRIES):
        try:
            return socket.create_server((address, port), backlog=BACKLOG)
        except OSError:
            await asyncio.sleep(LISTEN_RETRY_S)
    return socket.create_server((address, port), backlog=BACKLOG)
