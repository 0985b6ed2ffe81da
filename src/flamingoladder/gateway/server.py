"""The HTTP server for callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from reactivex import Subject

from flamingoladder.gateway.dispatch_check import other_hosts
from flamingoladder.gateway.handler import RequestHandler
from flamingoladder.gateway.in_flight import InFlightCounter
from flamingoladder.gateway.messages import RequestCompleted
from flamingoladder.gateway.request_parsing import request_id_of
from flamingoladder.gateway.responses import outcome_response
from flamingoladder.gateway.responses import refusal_response
from flamingoladder.gateway.shutdown_phase import ShutdownPhase
from flamingoladder.gateway.system_api import OUTCOMES_PREFIX
from flamingoladder.gateway.system_api import SystemApi
from flamingoladder.gateway.system_api import with_unknown_outcome
from flamingoladder.gateway.validation import split_service_path
from flamingoladder.memory.body_reader import BodyReader
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.memory.caller_connections import CallerConnections
from flamingoladder.memory.events import MemoryEvents
from flamingoladder.memory.request_scope import is_worth_draining
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

# Limits of the HTTP parser; check_headers enforces the configured ``defaults.max_header_bytes``.
MAX_FIELD_BYTES = 1_048_576
MAX_FIELDS = 10_000
CLOSE_TIMEOUT_S = 5.0
BODY_SETTING = "defaults.max_body_bytes"


class GatewayServer:
    """HTTP server on one port; after ``start()``, ``port`` is the port that it listens on.

    For a graceful shutdown, call ``leave()`` once look-up answers no longer list this host, wait
    for one look-up lifetime, then call ``stop()``. ``memory`` bounds callers' bodies, ``max_fds``
    their connections, if it is given.
    """

    __slots__ = (
        "_bind_address",
        "_completed",
        "_connections",
        "_handler",
        "_in_flight",
        "_listener",
        "_phase",
        "_ssl",
        "_stages",
        "_system_api",
        "port",
    )

    def __init__(
        self,
        stages: GatewayStages,
        bind_address: str,
        port: int,
        ssl_context: SSLContext | None = None,
        memory: MemoryBudget | None = None,
        max_fds: int = 0,
    ) -> None:
        self._stages = stages
        self._bind_address = bind_address
        self.port = port
        self._ssl = ssl_context
        self._in_flight = InFlightCounter()
        memory = memory or MemoryBudget()
        events = MemoryEvents(stages.recorder, _no_counter)
        self._connections = CallerConnections(memory, events, max_fds)
        self._handler = RequestHandler(stages, self._in_flight, BodyReader(memory, BODY_SETTING))
        self._system_api = SystemApi(stages, self._handler.validator)
        self._phase = ShutdownPhase.SERVING
        self._completed: Subject[RequestCompleted] = Subject()
        self._listener = Port.of_application(
            self._application(), MAX_FIELD_BYTES, MAX_FIELDS, CLOSE_TIMEOUT_S, self._connections
        )

    @property
    def completed_requests(self) -> Observable[RequestCompleted]:
        """Return the stream of completed requests under ``/services/``."""
        return self._completed

    async def start(self) -> None:
        """Listen for callers.

        :raises OSError: if the port can't be opened.
        """
        self.port = await self._listener.open(self._bind_address, self.port, self._ssl)

    def leave(self) -> None:
        """Report not ready and close each connection after its next response, but keep serving."""
        self._phase = ShutdownPhase.LEAVING
        self._system_api.serving = False

    async def stop(self, grace_s: float) -> bool:
        """Refuse new requests as not run, wait for those in flight, and close the port.

        Return whether all of them finished, and callers took their answers, within ``grace_s``
        seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s
        self._phase = ShutdownPhase.STOPPING
        self._system_api.serving = False
        await self._in_flight.wait_until_idle(grace_s)
        cut = self._in_flight.count
        cut += await self._listener.close(max(0.0, deadline - loop.time()))
        self._stages.recorder.record("gateway.stopped", cut=cut)
        return cut == 0

    def _application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/v1/lookup", self._system_api.lookup)
        application.router.add_post("/v1/tickets", self._tracked(self._system_api.ticket))
        application.router.add_get(
            OUTCOMES_PREFIX + "{key}", self._tracked(self._system_api.outcome)
        )
        application.router.add_get("/health/live", self._system_api.live)
        application.router.add_get("/health/ready", self._system_api.ready)
        application.router.add_route(
            "*", "/services/{rest:.*}", self._tracked(self._handle_service)
        )
        return application

    def _tracked(
        self, handle: Callable[[web.Request, str], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Return a handler that counts a request as in flight until its response is written.

        While the server stops, the handler refuses requests instead.
        """

        async def handler(request: web.Request) -> web.Response:
            request_id = request_id_of(request)
            if self._phase is ShutdownPhase.STOPPING:
                return self._close_connection(
                    refusal_response(self._stopping_refusal(request), request_id)
                )
            with self._in_flight:
                response = await handle(request, request_id)
                is_kept = self._phase is ShutdownPhase.SERVING and is_worth_draining(request)
                if not is_kept:
                    self._close_connection(response)
                await _write(request, response)
            return response

        return handler

    def _close_connection(self, response: web.Response) -> web.Response:
        response.force_close()
        return response

    def _stopping_refusal(self, request: web.Request) -> Refusal:
        refusal = Refusal(
            Verdict.NOT_RUN,
            Reason.HOST_LEAVING,
            "this host is stopping; use another one",
            hosts=other_hosts(self._stages.state, self._stages.recorder.host),
        )
        return (
            with_unknown_outcome(refusal) if request.path.startswith(OUTCOMES_PREFIX) else refusal
        )

    async def _handle_service(self, request: web.Request, request_id: str) -> web.Response:
        loop = asyncio.get_running_loop()
        now = loop.time()
        outcome = await self._handler.handle(request, request_id, now)
        self._completed.on_next(_completed_request(request, outcome, loop.time() - now))
        return outcome_response(outcome, request_id)


def _no_counter(_kind: str, _reason: str) -> None:
    """Count nothing: the recorder's events are counted by kind."""


async def _write(request: web.Request, response: web.Response) -> None:
    await response.prepare(request)
    await response.write_eof()


def _completed_request(
    request: web.Request, outcome: Outcome, duration_s: float
) -> RequestCompleted:
    service, _ = split_service_path(request)
    if outcome.is_ok():
        return RequestCompleted(service, Verdict.RAN, None, duration_s)
    refusal = outcome.error
    known_service = None if refusal.reason is Reason.UNKNOWN_SERVICE else service
    return RequestCompleted(known_service, refusal.verdict, refusal.reason, duration_s)
