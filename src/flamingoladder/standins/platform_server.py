"""The platform's stand-in over HTTP.

Table: ``POST /v3/kv/range`` and ``POST /v3/kv/txn`` of the etcd v3 JSON gateway. Objects:
``PUT`` and ``GET /objects/{name}``. Host list: ``GET /hosts``. Control, which also works while the
stand-in is down: ``PUT /faults``, ``PUT /hosts``, ``GET /counts``.
"""

from __future__ import annotations

import asyncio
import hmac
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from aiohttp import web

from flamingoladder.platform.etcd_messages import RANGE_PATH
from flamingoladder.platform.etcd_messages import TXN_PATH
from flamingoladder.platform.etcd_messages import RangeRequest
from flamingoladder.platform.etcd_messages import TxnRequest
from flamingoladder.standins.etcd import apply_range
from flamingoladder.standins.etcd import apply_txn
from flamingoladder.standins.exceptions import MalformedRequestError
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.platform import HostSettings
from flamingoladder.standins.platform import PlatformState
from flamingoladder.standins.platform import entity_tag

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from aiohttp.typedefs import Middleware
    from multidict import CIMultiDictProxy

MAX_REQUEST_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1

M = TypeVar("M", bound=msgspec.Struct)


def platform_application(state: PlatformState, token: str) -> web.Application:
    """Return the application that serves ``state`` to callers with the bearer ``token``."""
    server = _PlatformServer(state, token)
    application = web.Application(
        middlewares=[server.authorize, server.inject_faults], client_max_size=MAX_REQUEST_BYTES
    )
    application.add_routes(server.routes())
    return application


class _PlatformServer:
    """The request handlers."""

    __slots__ = ("_credentials", "_state")

    def __init__(self, state: PlatformState, token: str) -> None:
        self._state = state
        self._credentials = f"Bearer {token}".encode()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post(RANGE_PATH, self._range),
            web.post(TXN_PATH, self._txn),
            web.get("/objects/{name}", self._get_object, allow_head=False),
            web.put("/objects/{name}", self._put_object),
            web.get("/hosts", self._get_hosts, allow_head=False),
            web.put("/hosts", self._put_hosts),
            web.put("/faults", self._put_faults),
            web.get("/counts", self._get_counts, allow_head=False),
        ]

    @property
    def authorize(self) -> Middleware:
        """Return the middleware that turns away callers without the token."""

        @web.middleware
        async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
            if not self._authorized(request.headers):
                return web.Response(status=HTTPStatus.UNAUTHORIZED)
            return await handler(request)

        return middleware

    @property
    def inject_faults(self) -> Middleware:
        """Return the middleware that delays, refuses or swallows calls other than control."""

        @web.middleware
        async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
            if _is_control(request):
                return await handler(request)
            await self._travel()
            if self._state.faults.refuse:
                return _unavailable()
            response = await handler(request)
            if _is_write(request) and self._state.take_lost_answer():
                await _hang()
            await self._travel()
            return response

        return middleware

    def _authorized(self, headers: CIMultiDictProxy[str]) -> bool:
        given = headers.get("Authorization", "").encode()
        return hmac.compare_digest(given, self._credentials)

    async def _travel(self) -> None:
        if self._state.faults.down:
            await _hang()
        await asyncio.sleep(self._state.faults.delay_s)

    async def _range(self, request: web.Request) -> web.Response:
        message = await _decoded(request, RangeRequest)
        try:
            return _json(apply_range(self._state.table, message))
        except MalformedRequestError as error:
            raise web.HTTPBadRequest(text=str(error)) from error

    async def _txn(self, request: web.Request) -> web.Response:
        message = await _decoded(request, TxnRequest)
        try:
            return _json(apply_txn(self._state.table, message))
        except MalformedRequestError as error:
            raise web.HTTPBadRequest(text=str(error)) from error

    async def _get_object(self, request: web.Request) -> web.Response:
        content = self._state.content_by_name.get(request.match_info["name"])
        if content is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(body=content, headers={"ETag": entity_tag(content)})

    async def _put_object(self, request: web.Request) -> web.Response:
        content = await request.read()
        name = request.match_info["name"]
        if request.headers.get("If-None-Match") != "*":
            return web.Response(status=HTTPStatus.PRECONDITION_REQUIRED)
        if name in self._state.content_by_name:
            return web.Response(status=HTTPStatus.PRECONDITION_FAILED)
        self._state.content_by_name[name] = content
        return web.Response(status=HTTPStatus.CREATED, headers={"ETag": entity_tag(content)})

    async def _get_hosts(self, request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        content = msgspec.json.encode(self._state.hosts.seen(now))
        headers = {"ETag": entity_tag(content)}
        if request.headers.get("If-None-Match") == headers["ETag"]:
            return web.Response(status=HTTPStatus.NOT_MODIFIED, headers=headers)
        return web.Response(body=content, content_type="application/json", headers=headers)

    async def _put_hosts(self, request: web.Request) -> web.Response:
        settings = await _decoded(request, HostSettings)
        self._state.hosts.put(settings, asyncio.get_running_loop().time())
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _put_faults(self, request: web.Request) -> web.Response:
        self._state.faults = await _decoded(request, FaultSettings)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _get_counts(self, request: web.Request) -> web.Response:
        return _json(self._state.counts())


def _is_control(request: web.Request) -> bool:
    if request.path == "/hosts":
        return request.method == "PUT"
    return request.path in ("/faults", "/counts")


def _is_write(request: web.Request) -> bool:
    return request.method == "PUT" or request.path == TXN_PATH


def _unavailable() -> web.Response:
    headers = {"Retry-After": str(RETRY_AFTER_S)}
    return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)


def _json(message: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.json.encode(message), content_type="application/json")


async def _decoded(request: web.Request, message_type: type[M]) -> M:
    try:
        return msgspec.json.decode(await request.read(), type=message_type)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def _hang() -> None:
    await asyncio.Event().wait()
