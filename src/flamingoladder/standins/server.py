"""An HTTP server on one port, for the stand-ins."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from aiohttp.web_protocol import RequestHandler

SHUTDOWN_TIMEOUT_S = 0.1


class ApplicationServer:
    """Serves an application; port 0 lets the system choose one, which is then kept."""

    __slots__ = ("_application", "_runner", "_site", "address", "port")

    def __init__(self, application: web.Application, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self._application = application
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}:{self.port}"

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the port is taken.
        """
        self._runner = web.AppRunner(
            self._application,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            access_log=None,
        )
        await self._runner.setup()
        await self.listen()

    async def listen(self) -> None:
        """Open the listening socket."""
        if self._runner is None:
            return
        self._site = web.TCPSite(self._runner, self.address, self.port)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def refuse(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    def connections(self) -> list[RequestHandler]:
        """Return the open connections."""
        if self._runner is None or self._runner.server is None:
            return []
        return list(self._runner.server.connections)

    def reset_connections(self) -> None:
        """Close all connections at once, without finishing what they carry."""
        for connection in self.connections():
            if connection.transport is not None:
                connection.transport.abort()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            self.reset_connections()
            await self._runner.cleanup()


async def wait_for_signal() -> None:
    """Return when the process is asked to stop."""
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()
