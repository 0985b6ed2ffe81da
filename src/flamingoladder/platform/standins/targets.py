"""Targets that register in the store's stand-in and run requests."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from time import time_ns
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from flamingoladder.platform import headers
from flamingoladder.standins.server import ApplicationServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.platform.rows import RowStore

MS_PER_S = 1_000
NS_PER_MS = 1_000_000
TABLE = "servers"
QUEUE = 9


class TargetArrival(msgspec.Struct, frozen=True):
    """A request that reached a target, whether it ran or not, and what its answer says.

    ``paused_until`` is the end of the pause that the answer names, 0 if it names none.
    """

    request_id: str
    target_id: str
    at: float
    paused_until: float = 0.0
    says_leaving: bool = False


class TargetRun(msgspec.Struct, frozen=True):
    """One request that a target began to run."""

    request_id: str
    target_id: str
    method: str
    path: str
    workspace: str | None
    key: str | None
    deadline_ms: int | None
    at: float


class StandinTarget:
    """A target with ``slots``; each request takes ``work_s`` seconds.

    It registers ``advertised_address`` if that is set, as of a relay before it. While it has a
    ``rate_limit_per_s``, its answers name that; while ``says_leaving``, they say so. Until
    ``pause_until`` it turns requests away and names the time that is left. ``on_run`` is called
    as it begins to run a request.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        failure_domain: str,
        *,
        slots: int = 3,
        work_s: float = 0.01,
        address: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.failure_domain = failure_domain
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.advertised_address = ""
        self.rate_limit_per_s: float | None = None
        self.says_leaving = False
        self.pause_until = 0.0
        self.arrivals: list[TargetArrival] = []
        self.runs: list[TargetRun] = []
        self.on_run: Callable[[TargetRun], None] = _ignore
        self.running = 0
        self.cancelled = 0
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._born_ms = time_ns() // NS_PER_MS
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_route("*", "/{rest:.*}", self._work)
        self.server = ApplicationServer(application, address, port)

    async def start(self, store: RowStore) -> None:
        """Listen and register."""
        await self.server.start()
        await self.register(store)

    async def register(self, store: RowStore) -> None:
        """Write the entry."""
        entry = {
            "service": self.service,
            "address": self.advertised_address or f"{self.server.address}:{self.server.port}",
            "zone": self.failure_domain,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_s": 0,
            "seq": 1,
            "born": self._born_ms,
        }
        await store.write(TABLE, self.target_id, msgspec.json.encode(entry))

    async def start_again(self, store: RowStore) -> None:
        """Register as a new start under the same id."""
        self._born_ms = time_ns() // NS_PER_MS
        await self.register(store)

    async def drain(self, store: RowStore) -> None:
        """Report that the target leaves; it goes on serving."""
        self.state = "draining"
        await self.register(store)

    async def _health(self, _request: web.Request) -> web.Response:
        found = {headers.INSTANCE_ID: self.target_id, **self._says()}
        leaves = self.says_leaving or self.state != "ready"
        return web.Response(status=503 if leaves else 200, headers=found)

    async def _work(self, request: web.Request) -> web.Response:
        found = {
            headers.REQUEST_ID: request.headers.get(headers.REQUEST_ID, ""),
            **self._says(),
        }
        expected = request.headers.get(headers.EXPECT_INSTANCE)
        if expected not in (None, self.target_id):
            found[headers.INSTANCE_ID] = self.target_id
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST, headers=found)
        now = asyncio.get_running_loop().time()
        request_id = found[headers.REQUEST_ID]
        paused_until = self.pause_until if now < self.pause_until else 0.0
        self.arrivals.append(
            TargetArrival(request_id, self.target_id, now, paused_until, self.says_leaving)
        )
        if paused_until:
            found[headers.RETRY_AFTER] = f"{self.pause_until - now:.3f}"
        if paused_until or self._waiting >= QUEUE:
            found[headers.NOT_EXECUTED] = "1"
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=found)
        body = await request.read()
        await self._run(request)
        found[headers.SIGNATURE] = f"signed-by-{self.target_id}"
        return web.Response(body=body or request.raw_path.encode(), headers=found)

    def _says(self) -> dict[str, str]:
        found = {headers.SERVER_LOAD: self._load()}
        if self.rate_limit_per_s is not None:
            found[headers.SERVER_LIMITS[0]] = str(self.rate_limit_per_s)
        if self.says_leaving:
            found[headers.SERVER_LEAVING[1]] = "1"
        return found

    async def _run(self, request: web.Request) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self.running += 1
        self.runs.append(self._record(request))
        self.on_run(self.runs[-1])
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
            self._free.release()

    def _record(self, request: web.Request) -> TargetRun:
        deadline = request.headers.get(headers.DEADLINE_MS)
        return TargetRun(
            request.headers.get(headers.REQUEST_ID, ""),
            self.target_id,
            request.method,
            request.raw_path,
            request.headers.get(headers.TENANT_ID),
            request.headers.get(headers.API_KEY),
            None if deadline is None else int(deadline),
            asyncio.get_running_loop().time(),
        )

    def _load(self) -> str:
        return f"{self.running},{self._waiting},{self.slots}"


def _ignore(_run: TargetRun) -> None:
    return
