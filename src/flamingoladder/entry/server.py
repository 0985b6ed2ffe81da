"""The HTTP servers of an entry host: callers, health, look-ups and metrics."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from aiohttp import web

from flamingoladder.gateway.in_progress import InProgress
from flamingoladder.gateway.phase import Phase
from flamingoladder.transport.proof_of_life import require_acknowledgements
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from flamingoladder.entry.settings import Endpoint

    Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

BACKLOG = 1_024
CALLER_SILENCE_S = 10.0
IDLE_S = 75.0
MAX_FIELD_BYTES = 65_536
CLOSE_TIMEOUT_S = 0.2
LISTEN_RETRY_S = 0.2
LISTEN_TRIES = 25


class Port:
    """One listening port with its handler."""

    __slots__ = ("_handle", "_runner", "_site")

    def __init__(self, handle: Handle) -> None:
        self._handle = handle
        self._runner: web.ServerRunner | None = None
        self._site: web.SockSite | None = None

    async def open(self, endpoint: Endpoint) -> None:
        """Listen on ``endpoint``.

        :raises OSError: if the port can't be had.
        """
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_S,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        await self._runner.setup()
        listening = await _listening(endpoint)
        require_acknowledgements(listening, CALLER_SILENCE_S)
        self._site = web.SockSite(self._runner, listening, backlog=BACKLOG)
        await self._site.start()

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open stay."""
        if self._site is not None:
            await self._site.stop()

    async def close(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()


class CallerGate:
    """Counts callers' requests and turns them away while the host stops."""

    __slots__ = ("_handle", "_refuse", "in_progress", "phase")

    def __init__(self, handle: Handle, refuse: Callable[[Refusal], web.Response]) -> None:
        self._handle = handle
        self._refuse = refuse
        self.phase = Phase.SERVING
        self.in_progress = InProgress()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request, or refuse it as not run."""
        if self.phase is Phase.STOPPING:
            refusal = Refusal.not_run(Reason.HOST_LEAVING, "this host is stopping")
            response: web.StreamResponse = self._refuse(refusal)
            response.force_close()
            return response
        with self.in_progress:
            response = await self._handle(request)
            if self.phase is not Phase.SERVING:
                response.force_close()
            await response.prepare(request)
            await response.write_eof()
        return response


async def _listening(endpoint: Endpoint) -> socket.socket:
    for _ in range(LISTEN_TRIES):
        try:
            return socket.create_server((endpoint.address, endpoint.port), backlog=BACKLOG)
        except OSError:
            await asyncio.sleep(LISTEN_RETRY_S)
    return socket.create_server((endpoint.address, endpoint.port), backlog=BACKLOG)
