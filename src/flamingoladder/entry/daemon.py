"""The entry daemon on a platform: runs the slices of one host, and stops them in order."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from aiohttp import web

from flamingoladder.entry.gate import CallerGate
from flamingoladder.entry.intake import read_body
from flamingoladder.entry.metrics import CONTENT_TYPE
from flamingoladder.entry.metrics import EntryMetrics
from flamingoladder.entry.slices import EntrySlices
from flamingoladder.gateway.phase import Phase
from flamingoladder.platform import callers
from flamingoladder.platform import memberships
from flamingoladder.platform import operators
from flamingoladder.platform import registry
from flamingoladder.platform.exceptions import SettingsFileError
from flamingoladder.platform.operators import OperatorReader
from flamingoladder.platform.registry import RegistryReader
from flamingoladder.platform.watcher import TableWatcher
from flamingoladder.routing.model import RequestLimits
from flamingoladder.supervision import supervised
from flamingoladder.transport.port import Port
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from flamingoladder.entry.request import ArrivedRequest
    from flamingoladder.entry.settings import HostSettings
    from flamingoladder.platform.watcher import TableReader
    from flamingoladder.transport.port import Handle

LINGER_S = 3.0
EXIT_MARGIN_S = 0.4
FAREWELL_S = 0.1
UPKEEP_INTERVAL_S = 0.25
NO_ROUTE = "none"
MAX_FIELD_BYTES = 65_536
CLOSE_TIMEOUT_S = 0.2


def _none_dropped() -> float:
    return 0.0


class EntryHost:
    """One entry host: its ports, and the tasks that keep its slices up to date."""

    __slots__ = ("_gate", "_metrics", "_ports", "_settings", "_slices", "_tasks")

    def __init__(self, settings: HostSettings, dropped_lines: Callable[[], float]) -> None:
        self._settings = settings
        self._slices = EntrySlices.from_config(settings)
        self._metrics = EntryMetrics(dropped_lines)
        self._metrics.follow(self._slices.recorder.events)
        self._gate = CallerGate(self._serve, _refuse)
        self._ports = [
            (_port(self._gate.handle), settings.callers),
            (_port(self._ready), settings.health),
            (_port(self._lookup), settings.lookups),
            (_port(self._expose), settings.metrics),
        ]
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls, settings: HostSettings, dropped_lines: Callable[[], float] = _none_dropped
    ) -> EntryHost:
        """Return a host; to be called with a running event loop."""
        return cls(settings, dropped_lines)

    @property
    def version(self) -> int | None:
        """Return the version of the configuration in force here, if there is one."""
        plan = self._slices.beliefs.plan
        return None if plan is None else plan.version

    def serves_with(self, others: int) -> bool:
        """Return whether this host serves callers and hears this number of other hosts."""
        now = asyncio.get_running_loop().time()
        heard = len(self._slices.members.live_reports(now))
        return self._is_ready and bool(self._slices.targets.by_id) and heard >= others

    async def start(self) -> None:
        """Bind all ports, then join the fleet.

        :raises OSError: if a port can't be had.
        """
        slices = self._slices
        slices.links.start(f"tcp://{self._settings.peers}")
        for port, endpoint in self._ports:
            await port.open(endpoint.address, endpoint.port)
        self._follow(operators.TABLE, OperatorReader(slices.beliefs, slices.recorder))
        self._follow(registry.TABLE, RegistryReader(slices.targets, slices.recorder))
        self._follow(memberships.TABLE, slices.membership)
        self._run("registration", slices.membership.register)
        self._run("reports", slices.exchange.run)
        self._run("objects", slices.objects.run)
        self._run("upkeep", self._keep_up)
        slices.recorder.record("host.started", address=self._settings.callers)

    async def stop(self) -> None:
        """Stop gracefully: be not ready, serve what still comes, finish, and leave the fleet."""
        loop = asyncio.get_running_loop()
        latest = loop.time() + self._settings.bounds.grace_s - EXIT_MARGIN_S
        slices = self._slices
        slices.recorder.record("host.stopping", in_progress=self._gate.in_progress.count)
        self._gate.phase = Phase.LEAVING
        slices.lookups.leaving = True
        slices.reporter.leaving = True
        slices.exchange.send(loop.time())
        await asyncio.sleep(LINGER_S)
        caller_port, _ = self._ports[0]
        await caller_port.stop_listening()
        self._gate.phase = Phase.STOPPING
        finished = await self._gate.in_progress.wait_until_idle(latest - loop.time())
        self._cancel_tasks()
        leaving = asyncio.create_task(slices.membership.leave())
        await asyncio.wait([leaving], timeout=FAREWELL_S)
        slices.recorder.record("host.stopped", requests_finished=finished)
        await self.close()

    async def close(self) -> None:
        """End at once, without a word to other hosts."""
        self._cancel_tasks()
        for port, _ in self._ports:
            await port.close()
        await self._slices.close()

    def reload(self, read_settings: Callable[[], HostSettings]) -> None:
        """Check the settings file anew and say what differs; that takes effect at the next start.

        Ports, addresses and the name of a host stay as they are while it runs.
        """
        recorder = self._slices.recorder
        try:
            found = read_settings()
        except SettingsFileError as error:
            recorder.record("host.settings_refused", error=error)
            return
        changed = [
            name
            for name in found.__struct_fields__
            if getattr(found, name) != getattr(self._settings, name)
        ]
        recorder.record("host.reloaded", changed_for_next_start=",".join(changed))

    @property
    def _is_ready(self) -> bool:
        return self._gate.phase is Phase.SERVING and self._slices.beliefs.plan is not None

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _follow(self, table: str, reader: TableReader) -> None:
        watcher = TableWatcher(self._slices.store, table, reader, self._slices.recorder)
        self._run(table, watcher.run)

    def _run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(supervised(name, work, self._slices.recorder)))

    async def _keep_up(self) -> None:
        loop = asyncio.get_running_loop()
        slices = self._slices
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            now = loop.time()
            slices.targets.expire(now)
            if not slices.members.has_lowest_name(now):
                continue
            for member in slices.members.lost(now):
                slices.recorder.record("host.forgotten", peer=member.host)
                await slices.membership.forget(member.host)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started = asyncio.get_running_loop().time()
        plan = self._slices.beliefs.plan
        body = await read_body(request, RequestLimits() if plan is None else plan.limits)
        if isinstance(body, Refusal):
            response = _refuse(body)
            response.force_close()
            return response
        arrived = callers.arrived_request(request, body)
        outcome = await self._slices.handler.handle(arrived, started)
        response = callers.response_to(outcome, arrived.request_id)
        seconds = asyncio.get_running_loop().time() - started
        self._metrics.answered(self._route_name(arrived), response.status, seconds)
        return response

    def _route_name(self, arrived: ArrivedRequest) -> str:
        plan = self._slices.beliefs.plan
        route = None if plan is None else plan.find_route(arrived.host, arrived.path)
        return NO_ROUTE if route is None else route.name

    async def _ready(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._is_ready else 503)

    async def _lookup(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._slices.beliefs.plan is None:
            return web.Response(status=503)
        now = asyncio.get_running_loop().time()
        answer = self._slices.lookups.answer(callers.lookup_region(request), now)
        return callers.lookup_response(answer)

    async def _expose(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=self._metrics.text(), headers={"Content-Type": CONTENT_TYPE})


async def run_host(
    settings: HostSettings,
    dropped_lines: Callable[[], float],
    read_settings: Callable[[], HostSettings],
) -> None:
    """Run an entry host until SIGTERM or SIGINT, then stop it gracefully.

    ``read_settings`` reads the settings anew on SIGHUP.

    :raises OSError: if a port can't be had.
    """
    asked_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    host = EntryHost.from_config(settings, dropped_lines)
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, asked_to_stop.set)
    loop.add_signal_handler(signal.SIGHUP, host.reload, read_settings)
    await host.start()
    # What was imported and built lives for good: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await asked_to_stop.wait()
    await host.stop()


def _port(handle: Handle) -> Port:
    return Port.of_handler(handle, MAX_FIELD_BYTES, CLOSE_TIMEOUT_S)


def _refuse(refusal: Refusal) -> web.Response:
    return callers.refusal_response(refusal, "")
