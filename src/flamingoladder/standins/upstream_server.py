"""One upstream target over HTTP.

``GET /health``, ``GET /load``, ``GET /runs`` (of all targets in the process; query parameters such
as ``request_id`` select) and ``PUT /control``. Every other path is work.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import TypeGuard

import msgspec
from aiohttp import web

from flamingoladder import fields
from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.standins.exceptions import ShedError
from flamingoladder.standins.server import ApplicationServer
from flamingoladder.standins.upstream import MILLISECONDS_PER_SECOND
from flamingoladder.standins.upstream_messages import BODY_HEADER
from flamingoladder.standins.upstream_messages import CRASH_HEADER
from flamingoladder.standins.upstream_messages import DEADLINE_HEADER
from flamingoladder.standins.upstream_messages import DELAY_HEADER
from flamingoladder.standins.upstream_messages import IDEMPOTENCY_KEY_HEADER
from flamingoladder.standins.upstream_messages import REQUEST_ID_HEADER
from flamingoladder.standins.upstream_messages import TARGET_HEADER
from flamingoladder.standins.upstream_messages import Control
from flamingoladder.standins.upstream_messages import Run
from flamingoladder.standins.upstream_messages import RunState

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from aiohttp.typedefs import Middleware

    from flamingoladder.standins.upstream import UpstreamTarget
    from flamingoladder.standins.upstream_runs import RunLog

MAX_REQUEST_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1
CONTROL_PATHS = frozenset({"/control", "/runs"})
NO_DEADLINE_MS = 3_600_000.0

_control_decoder = Decoder.of_json(Control)


class UpstreamServer:
    """Serves one target."""

    __slots__ = ("_log", "_recovery", "_silent", "_target", "server")

    def __init__(self, target: UpstreamTarget, log: RunLog, address: str, port: int) -> None:
        self._target = target
        self._log = log
        self._silent: set[asyncio.BaseTransport] = set()
        self._recovery: asyncio.Task[None] | None = None
        self.server = ApplicationServer(self._application(), address, port)

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the port is taken.
        """
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._recovery is not None:
            self._recovery.cancel()
        await self.server.stop()

    def _application(self) -> web.Application:
        application = web.Application(
            middlewares=[self._limit_connections, self._swallow_answers],
            client_max_size=MAX_REQUEST_BYTES,
        )
        application.add_routes(
            [
                web.get("/health", self._health),
                web.get("/load", self._load),
                web.get("/runs", self._runs),
                web.put("/control", self._control),
                web.route("*", "/{path:.*}", self._work),
            ]
        )
        return application

    @property
    def _limit_connections(self) -> Middleware:

        @web.middleware
        async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
            transport = request.transport
            if request.path not in CONTROL_PATHS and self._is_beyond_limit(transport):
                transport.abort()
                await asyncio.Event().wait()
            return await handler(request)

        return middleware

    @property
    def _swallow_answers(self) -> Middleware:

        @web.middleware
        async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
            transport = request.transport
            response = await handler(request)
            if transport in self._silent:
                await asyncio.Event().wait()
            return response

        return middleware

    def _is_beyond_limit(self, transport: asyncio.Transport | None) -> TypeGuard[asyncio.Transport]:
        transports = [connection.transport for connection in self.server.connections()]
        self._log.saw_connections(len(transports))
        return transport in transports[self._target.settings.connections :]

    async def _health(self, request: web.Request) -> web.Response:
        if self._target.healthy:
            return web.Response(text="ok")
        return _unavailable("draining")

    async def _load(self, request: web.Request) -> web.Response:
        return _json(self._target.load(_now()))

    async def _runs(self, request: web.Request) -> web.Response:
        return _json(self._log.report(request.query))

    async def _control(self, request: web.Request) -> web.Response:
        try:
            control = _control_decoder.decode(await request.read())
        except MalformedValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._target.control(control, _now())
        if control.silence:
            self._silence(request.transport)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _work(self, request: web.Request) -> web.Response:
        self._log.saw_headers(request.headers.keys())
        remaining_s = _milliseconds(request, DEADLINE_HEADER, NO_DEADLINE_MS)
        if remaining_s <= 0:
            return web.Response(status=HTTPStatus.GATEWAY_TIMEOUT)
        try:
            async with asyncio.timeout(remaining_s) as deadline:
                await request.read()
                async with self._target.slot():
                    return await self._run(request, deadline)
        except ShedError as error:
            self._log.turned_away += 1
            return _unavailable(str(error))
        except TimeoutError:
            return web.Response(status=HTTPStatus.GATEWAY_TIMEOUT)

    async def _run(self, request: web.Request, deadline: asyncio.Timeout) -> web.Response:
        run = self._new_run(request)
        self._log.start(run)
        if CRASH_HEADER in request.headers:
            await self._crash()
        try:
            await asyncio.sleep(self._duration_s(request))
        except asyncio.CancelledError:
            state = RunState.DEADLINE if deadline.expired() else RunState.CANCELLED
            self._log.end(run, state, _now())
            raise
        self._log.end(run, RunState.COMPLETED, _now())
        return _answer(request, run)

    def _new_run(self, request: web.Request) -> Run:
        return Run(
            request_id=request.headers.get(REQUEST_ID_HEADER, ""),
            idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            target=self._target.name,
            method=request.method,
            path=request.path,
            started=_now(),
        )

    def _duration_s(self, request: web.Request) -> float:
        return self._target.service_time_s(_now()) + _milliseconds(request, DELAY_HEADER, 0)

    def _silence(self, spared: asyncio.Transport | None) -> None:
        for connection in self.server.connections():
            transport = connection.transport
            if transport is not None and transport is not spared:
                transport.pause_reading()
                self._silent.add(transport)

    async def _crash(self) -> None:
        if self._recovery is not None and not self._recovery.done():
            return
        self._log.crash(self._target.name, _now())
        self._recovery = asyncio.create_task(self._recover())
        await self.server.refuse()
        self.server.reset_connections()

    async def _recover(self) -> None:
        await asyncio.sleep(self._target.settings.crash_down_s)
        self._silent.clear()
        self._target.restart_ramp(_now())
        await self.server.listen()


def _answer(request: web.Request, run: Run) -> web.Response:
    size_bytes = int(request.headers.get(BODY_HEADER, len(run.request_id)))
    pattern = run.request_id.encode() or b"x"
    repeats = size_bytes // len(pattern) + 1
    headers = {REQUEST_ID_HEADER: run.request_id, TARGET_HEADER: run.target}
    return web.Response(body=(pattern * repeats)[:size_bytes], headers=headers)


def _milliseconds(request: web.Request, header: str, default: float) -> float:
    try:
        return float(request.headers.get(header, default)) / MILLISECONDS_PER_SECOND
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{header}: not a number") from error


def _unavailable(reason: str) -> web.Response:
    """Turn a request away that has not run, as the shed marker states."""
    headers = {"Retry-After": str(RETRY_AFTER_S), fields.SHED: "1"}
    return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=reason, headers=headers)


def _json(message: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.json.encode(message), content_type="application/json")


def _now() -> float:
    return asyncio.get_running_loop().time()
