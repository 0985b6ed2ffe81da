"""The platform's store over HTTP: its calls for rows and objects.

Control, which also works while the stand-in is down: ``PUT /faults``, ``PUT /hosts``,
``GET /counts``; ``PUT /copy`` keeps a copy, and ``PUT /restored`` comes back from it in a new era.
"""

from __future__ import annotations

import asyncio
import hmac
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from aiohttp import web

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.platform.headers import STORE_ERA
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.platform import HostSettings

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from aiohttp.typedefs import Middleware

    from flamingoladder.platform.standins.state import PlatformState
    from flamingoladder.platform.standins.tables import KeptRow
    from flamingoladder.platform.standins.tables import RowKey

MS_PER_S = 1_000
MAX_ROWS = 500
MAX_ENTRIES = 100
MAX_REQUEST_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1
CONTROL_PATHS = frozenset({"/faults", "/hosts", "/counts", "/copy", "/restored"})

M = TypeVar("M", bound=msgspec.Struct)


def platform_application(state: PlatformState, token: str | None = None) -> web.Application:
    """Return the application that serves ``state``, to callers with the bearer ``token`` if any."""
    server = _StoreServer(state, token)
    application = web.Application(
        middlewares=[server.authorize, server.inject_faults], client_max_size=MAX_REQUEST_BYTES
    )
    application.add_routes(server.routes())
    return application


class _Key(msgspec.Struct):
    table: str
    part: str
    key: str
    ver: int = 0
    value: str = ""

    @property
    def row_key(self) -> RowKey:
        return (self.table, self.part, self.key)


class _Transaction(msgspec.Struct):
    precondition: tuple[_Key, ...] = ()
    upserts: tuple[_Key, ...] = ()
    remove: tuple[_Key, ...] = ()

    def is_malformed(self) -> bool:
        entries = (*self.precondition, *self.upserts, *self.remove)
        written = [row.row_key for row in (*self.upserts, *self.remove)]
        return (
            len(entries) > MAX_ENTRIES
            or len({entry.part for entry in entries}) > 1
            or len(set(written)) < len(written)
        )


class _StoreServer:
    """The request handlers."""

    __slots__ = ("_credentials", "_state")

    def __init__(self, state: PlatformState, token: str | None) -> None:
        self._state = state
        self._credentials = None if token is None else f"Bearer {token}".encode()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post("/-/rows-tx", self._transact),
            web.get("/-/rows-get", self._get, allow_head=False),
            web.get("/-/rows-feed", self._feed, allow_head=False),
            web.put("/-/blob-put/{name}", self._put_object),
            web.get("/-/blob-get/{name}", self._get_object, allow_head=False),
            web.put("/hosts", self._put_hosts),
            web.put("/faults", self._put_faults),
            web.put("/copy", self._keep_copy),
            web.put("/restored", self._restore),
            web.get("/counts", self._get_counts, allow_head=False),
        ]

    @property
    def authorize(self) -> Middleware:
        """Return the middleware that turns away callers without the token."""

        @web.middleware
        async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
            given = request.headers.get("Authorization", "").encode()
            if self._credentials is None or hmac.compare_digest(given, self._credentials):
                return await handler(request)
            return web.Response(status=HTTPStatus.UNAUTHORIZED)

        return middleware

    @property
    def inject_faults(self) -> Middleware:
        """Return the middleware that delays, refuses or swallows calls other than control."""

        @web.middleware
        async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path in CONTROL_PATHS:
                return await handler(request)
            await self._travel()
            if self._state.faults.refuse:
                self._state.refused += 1
                headers = {"Retry-After": str(RETRY_AFTER_S), **self._era()}
                return web.Response(status=self._state.faults.refuse_status, headers=headers)
            response = await handler(request)
            response.headers.update(self._era())
            if request.method in ("POST", "PUT") and self._state.take_lost_answer():
                await _hang()
            await self._travel()
            return response

        return middleware

    def _era(self) -> dict[str, str]:
        return {STORE_ERA: str(self._state.tables.era)}

    async def _travel(self) -> None:
        if self._state.faults.down:
            await _hang()
        await asyncio.sleep(self._state.faults.delay_s)

    async def _transact(self, request: web.Request) -> web.Response:
        self._state.writes += 1
        wanted = await _decoded(request, _Transaction)
        if wanted.is_malformed():
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        tables = self._state.tables
        conflicts = tables.conflicts((row.row_key, row.ver) for row in wanted.precondition)
        if conflicts:
            found = [tables.by_key[key] for key in conflicts if key in tables.by_key]
            return self._reply(found, status=HTTPStatus.PRECONDITION_FAILED)
        tables.apply(
            [(row.row_key, row.value) for row in wanted.upserts],
            [row.row_key for row in wanted.remove],
        )
        return self._reply([])

    async def _get(self, request: web.Request) -> web.Response:
        self._state.reads += 1
        query = request.query
        rows = self._state.tables.rows(
            query["table"], query.get("part", ""), query.get("from", ""), query.get("to")
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return self._reply(rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        self._state.reads += 1
        table, after = request.query["table"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get("wait_ms", 0)) / MS_PER_S
        while True:
            rows = self._state.tables.changes(table, after)
            if rows is None:
                return web.Response(status=HTTPStatus.GONE)
            if rows or loop.time() >= until:
                return self._reply(rows)
            try:
                await asyncio.wait_for(self._state.tables.wait_for_change(), until - loop.time())
            except TimeoutError:
                continue

    async def _put_object(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        if request.headers.get("If-None-Match") == "*" and name in self._state.content_by_name:
            return web.Response(status=HTTPStatus.PRECONDITION_FAILED)
        self._state.content_by_name[name] = await request.read()
        return web.Response(status=HTTPStatus.OK)

    async def _get_object(self, request: web.Request) -> web.Response:
        content = self._state.content_by_name.get(request.match_info["name"])
        if content is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(body=content)

    async def _put_hosts(self, request: web.Request) -> web.Response:
        self._state.list_hosts((await _decoded(request, HostSettings)).hosts)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _put_faults(self, request: web.Request) -> web.Response:
        self._state.faults = await _decoded(request, FaultSettings)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _keep_copy(self, _request: web.Request) -> web.Response:
        self._state.keep_copy()
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _restore(self, _request: web.Request) -> web.Response:
        self._state.restore_kept_copy()
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _get_counts(self, _request: web.Request) -> web.Response:
        return _json(msgspec.json.encode(self._state.counts()))

    def _reply(
        self, rows: list[KeptRow], *, status: int = HTTPStatus.OK, has_more: bool = False
    ) -> web.Response:
        body = {
            "rows": [_wire_row(row) for row in rows],
            "has_more": has_more,
            "ver": self._state.tables.version,
            "now_s": asyncio.get_running_loop().time(),
        }
        return _json(msgspec.json.encode(body), status)


def _wire_row(row: KeptRow) -> dict[str, object]:
    found: dict[str, object] = {
        "table": row.table,
        "part": row.part,
        "key": row.key,
        "ver": row.version,
    }
    if row.value is None:
        return {**found, "deleted": True}
    return {**found, "value": row.value}


def _json(content: bytes, status: int = HTTPStatus.OK) -> web.Response:
    return web.Response(status=status, body=content, content_type="application/json")


async def _decoded(request: web.Request, message_type: type[M]) -> M:
    try:
        return Decoder.of_json(message_type).decode(await request.read())
    except MalformedValueError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def _hang() -> None:
    await asyncio.Event().wait()
