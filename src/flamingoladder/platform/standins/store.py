"""The platform's store over HTTP: its table calls, and faults that a test sets."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from flamingoladder.platform.standins.tables import Tables
from flamingoladder.standins.server import ApplicationServer

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from aiohttp.typedefs import Middleware

    from flamingoladder.platform.standins.tables import KeptRow
    from flamingoladder.platform.standins.tables import RowKey

MS_PER_S = 1_000
MAX_ROWS = 500
MAX_ENTRIES = 100


class StoreFaults:
    """What is wrong with the store. ``refused_status`` is answered to each call, undone."""

    __slots__ = ("delay_s", "lost_answers", "refused_status", "silent")

    def __init__(self) -> None:
        self.silent = False
        self.refused_status: int | None = None
        self.delay_s = 0.0
        self.lost_answers = 0


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


class StoreServer:
    """Serves the tables on one port; ``calls`` counts the calls by path."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.tables = Tables()
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        application = web.Application(middlewares=[self._inject_faults])
        application.add_routes(
            [
                web.post("/-/rows-tx", self._transact),
                web.get("/-/rows-get", self._get),
                web.get("/-/rows-feed", self._feed),
            ]
        )
        self.server = ApplicationServer(application, address, port)

    @property
    def _inject_faults(self) -> Middleware:
        @web.middleware
        async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
            self.calls[request.path] = self.calls.get(request.path, 0) + 1
            if self.faults.silent:
                await asyncio.Event().wait()
            if self.faults.refused_status is not None:
                return web.Response(status=self.faults.refused_status)
            await asyncio.sleep(self.faults.delay_s)
            response = await handler(request)
            if request.method == "POST" and self.faults.lost_answers:
                self.faults.lost_answers -= 1
                if request.transport is not None:
                    request.transport.abort()
            return response

        return middleware

    async def _transact(self, request: web.Request) -> web.Response:
        try:
            wanted = msgspec.json.decode(await request.read(), type=_Transaction)
        except msgspec.DecodeError:
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        entries = (*wanted.precondition, *wanted.upserts, *wanted.remove)
        if len(entries) > MAX_ENTRIES or len({entry.part for entry in entries}) > 1:
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        conflicts = self.tables.conflicts((key.row_key, key.ver) for key in wanted.precondition)
        if conflicts:
            found = [self.tables.by_key[key] for key in conflicts if key in self.tables.by_key]
            return self._reply(found, status=HTTPStatus.PRECONDITION_FAILED)
        self.tables.apply(
            [(row.row_key, row.value) for row in wanted.upserts],
            [row.row_key for row in wanted.remove],
        )
        return self._reply([])

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        rows = self.tables.rows(
            query["table"], query.get("part", ""), query.get("from", ""), query.get("to")
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return self._reply(rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get("wait_ms", 0)) / MS_PER_S
        while True:
            rows = self.tables.changes(table, after)
            if rows is None:
                return web.Response(status=HTTPStatus.GONE)
            if rows or loop.time() >= until:
                return self._reply(rows)
            try:
                await asyncio.wait_for(self.tables.wait_for_change(), until - loop.time())
            except TimeoutError:
                continue

    def _reply(
        self, rows: list[KeptRow], *, status: int = HTTPStatus.OK, has_more: bool = False
    ) -> web.Response:
        body = {
            "rows": [_wire_row(row) for row in rows],
            "has_more": has_more,
            "ver": self.tables.version,
            "now_s": asyncio.get_running_loop().time(),
        }
        content = msgspec.json.encode(body)
        return web.Response(status=status, body=content, content_type="application/json")


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
