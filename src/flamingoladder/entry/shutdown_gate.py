"""Graceful shutdown of the port for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.gateway.in_flight import InFlightCounter
from flamingoladder.gateway.shutdown_phase import ShutdownPhase
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from flamingoladder.transport.port import Handle


class ShutdownGate:
    """Counts in-flight requests of callers and refuses new ones during shutdown."""

    __slots__ = ("_handle", "_refuse", "in_progress", "phase")

    def __init__(self, handle: Handle, refuse: Callable[[Refusal], web.Response]) -> None:
        self._handle = handle
        self._refuse = refuse
        self.phase = ShutdownPhase.SERVING
        self.in_progress = InFlightCounter()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request, or refuse it as not run if the host is stopping."""
        if self.phase is ShutdownPhase.STOPPING:
            refusal = Refusal.not_run(Reason.HOST_LEAVING, "this host is stopping")
            response: web.StreamResponse = self._refuse(refusal)
            response.force_close()
            return response
        with self.in_progress:
            response = await self._handle(request)
            if self.phase is not ShutdownPhase.SERVING:
                response.force_close()
            await response.prepare(request)
            await response.write_eof()
        return response
