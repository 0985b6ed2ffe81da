"""One listening HTTP port."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from flamingoladder.transport.proof_of_life import require_acknowledgements

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from ssl import SSLContext

    Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

BACKLOG = 1_024
CALLER_SILENCE_S = 10.0
IDLE_S = 75.0
LISTEN_RETRY_S = 0.2
LISTEN_TRIES = 25

SERVER_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "auto_decompress": False,
    "handler_cancellation": True,
    "keepalive_timeout": IDLE_S,
}


class Port:
    """A port with its handler or application.

    ``max_field_bytes`` bounds the request line and each header field, ``close_timeout_s`` how long
    a close waits for requests in progress.
    """

    __slots__ = ("_runner", "_site")

    def __init__(self, runner: web.BaseRunner) -> None:
        self._runner = runner
        self._site: web.SockSite | None = None

    @classmethod
    def of_handler(cls, handle: Handle, max_field_bytes: int, close_timeout_s: float) -> Port:
        """Return a port whose requests all go to one handler."""
        server = web.Server(
            handle,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
            **SERVER_OPTIONS,
        )
        return cls(web.ServerRunner(server, shutdown_timeout=close_timeout_s))

    @classmethod
    def of_application(
        cls,
        application: web.Application,
        max_field_bytes: int,
        max_fields: int,
        close_timeout_s: float,
    ) -> Port:
        """Return a port of an application that takes up to ``max_fields`` header fields."""
        return cls(
            web.AppRunner(
                application,
                max_line_size=max_field_bytes,
                max_field_size=max_field_bytes,
                max_headers=max_fields,
                shutdown_timeout=close_timeout_s,
                **SERVER_OPTIONS,
            )
        )

    async def open(self, address: str, port: int, ssl_context: SSLContext | None = None) -> int:
        """Listen, and return the port in use; it differs from ``port`` if that is 0.

        A port that another process has just left is tried again for some seconds.

        :raises OSError: if the port can't be had.
        """
        await self._runner.setup()
        listening = await _listening(address, port)
        require_acknowledgements(listening, CALLER_SILENCE_S)
        self._site = web.SockSite(self._runner, listening, ssl_context=ssl_context, backlog=BACKLOG)
        await self._site.start()
        in_use: int = listening.getsockname()[1]
        return in_use

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open stay."""
        if self._site is not None:
            await self._site.stop()

    async def close(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()


async def _listening(address: str, port: int) -> socket.socket:
    for _ in range(LISTEN_TRIES):
        try:
            return socket.create_server((address, port), backlog=BACKLOG)
        except OSError:
            await asyncio.sleep(LISTEN_RETRY_S)
    return socket.create_server((address, port), backlog=BACKLOG)
