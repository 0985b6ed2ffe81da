"""The HTTP server for callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from reactivex import Subject

from flamingoladder.gateway.checks import service_and_path
from flamingoladder.gateway.handler import RequestHandler
from flamingoladder.gateway.in_progress import InProgress
from flamingoladder.gateway.intake import request_id_of
from flamingoladder.gateway.messages import RequestEnded
from flamingoladder.gateway.own_paths import OUTCOMES
from flamingoladder.gateway.own_paths import OwnPaths
from flamingoladder.gateway.own_paths import fate_unknown
from flamingoladder.gateway.permission import other_hosts
from flamingoladder.gateway.phase import Phase
from flamingoladder.gateway.reply import outcome_response
from flamingoladder.gateway.reply import refusal_response
from flamingoladder.transport.port import Port
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from ssl import SSLContext

    from reactivex import Observable

    from flamingoladder.gateway.stages import GatewayStages
    from flamingoladder.verdict import Outcome

MAX_FIELD_BYTES = 1_048_576
MAX_FIELDS = 10_000
CLOSE_TIMEOUT_S = 5.0


class GatewayServer:
    """Serves callers on one port; once it is open, ``port`` is the one in use.

    A graceful shutdown is ``leave()`` once the look-up no longer names this host, a wait of one
    look-up lifetime, then ``stop()``.
    """

    __slots__ = (
        "_ended",
        "_handler",
        "_host",
        "_in_progress",
        "_own",
        "_phase",
        "_port",
        "_ssl",
        "_stages",
        "port",
    )

    def __init__(
        self, stages: GatewayStages, host: str, port: int, ssl_context: SSLContext | None = None
    ) -> None:
        self._stages = stages
        self._host = host
        self.port = port
        self._ssl = ssl_context
        self._in_progress = InProgress()
        self._handler = RequestHandler(stages, self._in_progress)
        self._own = OwnPaths(stages, self._handler.checks)
        self._phase = Phase.SERVING
        self._ended: Subject[RequestEnded] = Subject()
        self._port = Port.of_application(
            self._application(), MAX_FIELD_BYTES, MAX_FIELDS, CLOSE_TIMEOUT_S
        )

    @property
    def ended(self) -> Observable[RequestEnded]:
        """Return the stream of requests under ``/services/`` that have their outcome."""
        return self._ended

    async def start(self) -> None:
        """Listen for callers.

        :raises OSError: if the port can't be had.
        """
        self.port = await self._port.open(self._host, self.port, self._ssl)

    def leave(self) -> None:
        """Keep serving, but be not ready and close each connection after its next response."""
        self._phase = Phase.LEAVING
        self._own.serving = False

    async def stop(self, grace_s: float) -> bool:
        """Refuse new requests as not run, finish those in progress, and close the port.

        Return whether all were finished within ``grace_s`` seconds.
        """
        self._phase = Phase.STOPPING
        self._own.serving = False
        finished = await self._in_progress.wait_until_idle(grace_s)
        self._stages.recorder.record("gateway.stopped", cut=self._in_progress.count)
        await self._port.close()
        return finished

    def _application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/v1/lookup", self._own.lookup)
        application.router.add_post("/v1/tickets", self._guarded(self._own.ticket))
        application.router.add_get(OUTCOMES + "{key}", self._guarded(self._own.outcome))
        application.router.add_get("/health/live", self._own.live)
        application.router.add_get("/health/ready", self._own.ready)
        application.router.add_route("*", "/services/{rest:.*}", self._guarded(self._service))
        return application

    def _guarded(
        self, handle: Callable[[web.Request, str], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Return a handler that counts requests until they are written, or refuses them."""

        async def handler(request: web.Request) -> web.Response:
            request_id = request_id_of(request)
            if self._phase is Phase.STOPPING:
                return self._closing(refusal_response(self._leaving(request), request_id))
            with self._in_progress:
                response = await handle(request, request_id)
                if self._phase is not Phase.SERVING:
                    self._closing(response)
                await _write(request, response)
            return response

        return handler

    def _closing(self, response: web.Response) -> web.Response:
        response.force_close()
        return response

    def _leaving(self, request: web.Request) -> Refusal:
        refusal = Refusal(
            Verdict.NOT_RUN,
            Reason.HOST_LEAVING,
            "this host is stopping; use another one",
            hosts=other_hosts(self._stages.state, self._stages.recorder.host),
        )
        return fate_unknown(refusal) if request.path.startswith(OUTCOMES) else refusal

    async def _service(self, request: web.Request, request_id: str) -> web.Response:
        loop = asyncio.get_running_loop()
        now = loop.time()
        outcome = await self._handler.handle(request, request_id, now)
        self._ended.on_next(_ended(request, outcome, loop.time() - now))
        return outcome_response(outcome, request_id)


async def _write(request: web.Request, response: web.Response) -> None:
    await response.prepare(request)
    await response.write_eof()


def _ended(request: web.Request, outcome: Outcome, duration_s: float) -> RequestEnded:
    service, _ = service_and_path(request)
    if outcome.is_ok():
        return RequestEnded(service, Verdict.RAN, None, duration_s)
    refusal = outcome.error
    known = None if refusal.reason is Reason.UNKNOWN_SERVICE else service
    return RequestEnded(known, refusal.verdict, refusal.reason, duration_s)
