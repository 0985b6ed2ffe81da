"""The HTTP server for callers."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.gateway.handler import RequestHandler
from flamingoladder.gateway.in_progress import InProgress
from flamingoladder.gateway.intake import bearer_key
from flamingoladder.gateway.intake import request_id_of
from flamingoladder.gateway.messages import Health
from flamingoladder.gateway.messages import TicketReply
from flamingoladder.gateway.permission import other_hosts
from flamingoladder.gateway.reply import json_response
from flamingoladder.gateway.reply import outcome_response
from flamingoladder.gateway.reply import refusal_response
from flamingoladder.transport.proof_of_life import require_acknowledgements
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from ssl import SSLContext

    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.gateway.stages import GatewayStages

MAX_FIELD_BYTES = 1_048_576
MAX_FIELDS = 10_000
BACKLOG = 1_024
CALLER_SILENCE_S = 10.0
CLOSE_TIMEOUT_S = 5.0
IDLE_S = 75.0

OUTCOMES = "/v1/outcomes/"


class Phase(Enum):
    """How far the server has gone towards its stop."""

    SERVING = 1
    LEAVING = 2
    STOPPING = 3


class GatewayServer:
    """Serves callers on one port.

    A graceful shutdown is ``leave()`` once the look-up no longer names this host, a wait of one
    look-up lifetime, then ``stop()``.
    """

    __slots__ = (
        "_handler",
        "_host",
        "_in_progress",
        "_phase",
        "_port",
        "_runner",
        "_ssl",
        "_stages",
    )

    def __init__(
        self, stages: GatewayStages, host: str, port: int, ssl_context: SSLContext | None = None
    ) -> None:
        self._stages = stages
        self._host = host
        self._port = port
        self._ssl = ssl_context
        self._in_progress = InProgress()
        self._handler = RequestHandler(stages, self._in_progress)
        self._phase = Phase.SERVING
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Return the port in use; it differs from the one asked for if that was 0."""
        return self._port

    async def start(self) -> None:
        """Listen for callers.

        :raises OSError: if the port can't be had.
        """
        self._runner = web.AppRunner(
            self._application(),
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
            shutdown_timeout=CLOSE_TIMEOUT_S,
            keepalive_timeout=IDLE_S,
        )
        await self._runner.setup()
        listening = socket.create_server((self._host, self._port), backlog=BACKLOG)
        require_acknowledgements(listening, CALLER_SILENCE_S)
        await web.SockSite(self._runner, listening, ssl_context=self._ssl).start()
        self._port = listening.getsockname()[1]

    def leave(self) -> None:
        """Keep serving, but be not ready and close each connection after its next response."""
        self._phase = Phase.LEAVING

    async def stop(self, grace_s: float) -> bool:
        """Refuse new requests as not run, finish those in progress, and close the port.

        Return whether all were finished within ``grace_s`` seconds.
        """
        self._phase = Phase.STOPPING
        finished = await self._in_progress.wait_until_idle(grace_s)
        self._stages.recorder.record("gateway.stopped", cut=self._in_progress.count)
        if self._runner is not None:
            await self._runner.cleanup()
        return finished

    def _application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/v1/lookup", self._lookup)
        application.router.add_post("/v1/tickets", self._guarded(self._ticket))
        application.router.add_get(OUTCOMES + "{key}", self._guarded(self._outcome))
        application.router.add_get("/health/live", self._live)
        application.router.add_get("/health/ready", self._ready)
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
        return _fate_unknown(refusal) if request.path.startswith(OUTCOMES) else refusal

    async def _service(self, request: web.Request, request_id: str) -> web.Response:
        now = asyncio.get_running_loop().time()
        outcome = await self._handler.handle(request, request_id, now)
        return outcome_response(outcome, request_id)

    async def _ticket(self, request: web.Request, request_id: str) -> web.Response:
        try:
            grant = self._grant(request)
        except RefusedError as error:
            return refusal_response(error.refusal, request_id)
        return json_response(TicketReply(self._stages.ledger.issue_ticket(grant.workspace)))

    async def _outcome(self, request: web.Request, request_id: str) -> web.Response:
        try:
            grant = self._grant(request)
        except RefusedError as error:
            return refusal_response(_fate_unknown(error.refusal), request_id)
        key = request.match_info["key"]
        outcome = await self._stages.ledger.outcome_of(grant.workspace, key)
        return outcome_response(outcome, request_id)

    def _grant(self, request: web.Request) -> KeyGrant:
        now = asyncio.get_running_loop().time()
        return self._handler.checks.grant_of(bearer_key(request), now)

    async def _lookup(self, request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        answer = self._stages.lookups.lookup(request.query.get("service", ""), now)
        if answer.is_error():
            return refusal_response(answer.error, request_id_of(request))
        return json_response(answer.ok)

    async def _live(self, _request: web.Request) -> web.Response:
        return json_response(Health(True, "live"))

    async def _ready(self, _request: web.Request) -> web.Response:
        detail = self._why_not_ready(asyncio.get_running_loop().time())
        return json_response(Health(detail is None, detail or "ready"), 503 if detail else 200)

    def _why_not_ready(self, now: float) -> str | None:
        if self._phase is not Phase.SERVING:
            return "stopping"
        if not self._stages.state.has_proof(now):
            return "no proof that the agreed state is the newest"
        return None


async def _write(request: web.Request, response: web.Response) -> None:
    await response.prepare(request)
    await response.write_eof()


def _fate_unknown(refusal: Refusal) -> Refusal:
    """Return a refused question about an earlier request, which says nothing of that request."""
    return msgspec.structs.replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
