"""The entry daemon: runs the components of one host and shuts them down in order."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from aiohttp import web

from flamingoladder.entry.components import EntryComponents
from flamingoladder.entry.maintenance import Maintenance
from flamingoladder.entry.metrics import CONTENT_TYPE
from flamingoladder.entry.metrics import EntryMetrics
from flamingoladder.entry.request_admission import RequestAdmission
from flamingoladder.entry.shutdown_gate import ShutdownGate
from flamingoladder.feed.proving_watcher import ProvingWatcher
from flamingoladder.feed.quiet_watcher import QuietWatcher
from flamingoladder.gateway.shutdown_phase import ShutdownPhase
from flamingoladder.memory.caller_connections import CallerConnections
from flamingoladder.memory.events import MemoryEvents
from flamingoladder.memory.request_scope import is_worth_draining
from flamingoladder.platform import callers
from flamingoladder.platform import memberships
from flamingoladder.platform import operators
from flamingoladder.platform import registry
from flamingoladder.platform.exceptions import SettingsFileError
from flamingoladder.platform.operators import OperatorReader
from flamingoladder.platform.registry import RegistryReader
from flamingoladder.supervision import supervised
from flamingoladder.transport.port import Port

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from flamingoladder.entry.request import IncomingRequest
    from flamingoladder.entry.settings import HostSettings
    from flamingoladder.transport.port import Handle
    from flamingoladder.verdict import Refusal

# A stopping host serves callers this much longer, as they may use a cached lookup answer.
DEREGISTRATION_DELAY_S = 3.0
EXIT_MARGIN_S = 0.4
LEAVE_TIMEOUT_S = 0.1
NO_ROUTE_LABEL = "none"
MAX_HEADER_FIELD_BYTES = 65_536
CLOSE_TIMEOUT_S = 0.2


def _no_dropped_lines() -> float:
    return 0.0


class EntryHost:
    """An entry host: its ports, and the tasks that keep its components up to date."""

    __slots__ = (
        "_admission",
        "_components",
        "_connections",
        "_gate",
        "_metrics",
        "_ports",
        "_settings",
        "_tasks",
    )

    def __init__(self, settings: HostSettings, dropped_lines: Callable[[], float]) -> None:
        self._settings = settings
        self._components = EntryComponents.from_config(settings)
        self._metrics = EntryMetrics(dropped_lines)
        self._metrics.count_events(self._components.recorder.events)
        memory = self._components.memory
        self._metrics.watch_memory(lambda: memory.held_bytes, lambda: memory.limit_bytes)
        memory_events = MemoryEvents(self._components.recorder, self._metrics.count_memory)
        self._connections = CallerConnections(memory, memory_events, settings.max_fds)
        self._admission = RequestAdmission(self._components, memory_events)
        self._gate = ShutdownGate(self._handle_caller, _refuse)
        self._ports = [
            (_port(self._gate.handle, self._connections), settings.callers),
            (_port(self._handle_readiness), settings.health),
            (_port(self._handle_lookup), settings.lookups),
            (_port(self._handle_metrics), settings.metrics),
        ]
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls, settings: HostSettings, dropped_lines: Callable[[], float] = _no_dropped_lines
    ) -> EntryHost:
        """Return a host; requires a running event loop."""
        return cls(settings, dropped_lines)

    @property
    def configuration_version(self) -> int | None:
        """Return the version of this host's configuration, or None before it has one."""
        routing = self._components.configuration.routing
        return None if routing is None else routing.version

    def is_serving_with(self, peers: int) -> bool:
        """Return whether this host serves callers and gets reports from ``peers`` hosts or more."""
        now = asyncio.get_running_loop().time()
        live_peers = len(self._components.members.live_reports(now))
        return self._is_ready and bool(self._components.targets.by_id) and live_peers >= peers

    async def start(self) -> None:
        """Bind all ports, then join the fleet.

        :raises OSError: if a port can't be bound.
        """
        components = self._components
        components.peer_links.start(f"tcp://{self._settings.peers}")
        for port, endpoint in self._ports:
            await port.open(endpoint.address, endpoint.port)
        self._watch_tables()
        self._start_task("registration", components.membership.register)
        self._start_task("reports", components.report_exchange.run)
        self._start_task("objects", components.object_snapshotter.run)
        self._start_task("poison", components.poison_upkeep.run)
        self._start_task("evidence", components.evidence_keeper.run)
        self._start_task("silence", components.silence_check.run)
        maintenance = Maintenance(components, self._connections)
        self._start_task("upkeep", maintenance.run)
        components.recorder.record("host.started", address=self._settings.callers)

    async def stop(self) -> None:
        """Stop gracefully: report unready, serve and finish late requests, leave the fleet."""
        loop = asyncio.get_running_loop()
        stop_deadline = loop.time() + self._settings.bounds.grace_s - EXIT_MARGIN_S
        components = self._components
        components.recorder.record("host.stopping", in_progress=self._gate.in_progress.count)
        self._gate.phase = ShutdownPhase.LEAVING
        components.lookups.leaving = True
        components.reporter.leaving = True
        components.relays.leaving = True
        components.report_relays.leaving = True
        components.report_exchange.send(loop.time())
        await asyncio.sleep(DEREGISTRATION_DELAY_S)
        caller_port, _ = self._ports[0]
        await caller_port.stop_listening()
        self._gate.phase = ShutdownPhase.STOPPING
        finished = await self._gate.in_progress.wait_until_idle(stop_deadline - loop.time())
        self._cancel_tasks()
        leaving = asyncio.create_task(components.membership.leave())
        await asyncio.wait([leaving], timeout=LEAVE_TIMEOUT_S)
        cut = await caller_port.close(max(0.0, stop_deadline - loop.time()))
        components.recorder.record("host.stopped", requests_finished=finished, answers_cut=cut)
        await self.close()

    async def close(self) -> None:
        """Stop at once, without notifying other hosts."""
        self._cancel_tasks()
        for port, _ in self._ports:
            await port.close()
        await self._components.close()

    def reload(self, read_settings: Callable[[], HostSettings]) -> None:
        """Reread and check the settings file, and log what differs.

        Changes take effect at the next start: ports, addresses and the name of a host are fixed
        while it runs.
        """
        recorder = self._components.recorder
        try:
            new_settings = read_settings()
        except SettingsFileError as error:
            recorder.record("host.settings_refused", error=error)
            return
        changed = [
            name
            for name in new_settings.__struct_fields__
            if getattr(new_settings, name) != getattr(self._settings, name)
        ]
        recorder.record("host.reloaded", changed_for_next_start=",".join(changed))

    @property
    def _is_ready(self) -> bool:
        return (
            self._gate.phase is ShutdownPhase.SERVING
            and self._components.configuration.routing is not None
            and self._components.poison_upkeep.is_informed
        )

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _watch_tables(self) -> None:
        components = self._components
        feed, recorder = components.feed, components.recorder
        targets = RegistryReader(components.targets, recorder)
        others = [
            QuietWatcher(registry.TABLE, targets, feed),
            QuietWatcher(memberships.TABLE, components.membership, feed),
        ]
        operator = OperatorReader(components.configuration, recorder)
        for watcher in (ProvingWatcher(operators.TABLE, operator, feed, others), *others):
            self._start_task(watcher.table, watcher.run)

    def _start_task(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(supervised(name, work, self._components.recorder)))

    async def _handle_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        started = asyncio.get_running_loop().time()
        incoming = callers.incoming_request(request)
        outcome = await self._admission.handle(request, incoming, started)
        transfers = self._components.memory.transfers
        response = callers.response_to(outcome, incoming.request_id, transfers)
        if not is_worth_draining(request):
            response.force_close()
        seconds = asyncio.get_running_loop().time() - started
        self._metrics.count_request(self._route_name(incoming), response.status, seconds)
        return response

    def _route_name(self, incoming: IncomingRequest) -> str:
        routing = self._components.configuration.routing
        route = None if routing is None else routing.find_route(incoming.host, incoming.path)
        return NO_ROUTE_LABEL if route is None else route.name

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._is_ready else 503)

    async def _handle_lookup(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._components.configuration.routing is None:
            return web.Response(status=503)
        now = asyncio.get_running_loop().time()
        answer = self._components.lookups.answer(
            callers.lookup_region(request),
            now,
            callers.lookup_failure_domain(request),
            request.remote or "",
        )
        return callers.lookup_response(answer)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=self._metrics.text(), headers={"Content-Type": CONTENT_TYPE})


async def run_host(
    settings: HostSettings,
    dropped_lines: Callable[[], float],
    read_settings: Callable[[], HostSettings],
) -> None:
    """Run an entry host until SIGTERM or SIGINT, then stop it gracefully.

    On SIGHUP, ``read_settings`` rereads the settings file.

    :raises OSError: if a port can't be bound.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    host = EntryHost.from_config(settings, dropped_lines)
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, host.reload, read_settings)
    await host.start()
    # Imported modules and built components are never freed: exempt them from garbage collection.
    gc.collect()
    gc.freeze()
    await stop_requested.wait()
    await host.stop()


def _port(handle: Handle, connections: CallerConnections | None = None) -> Port:
    return Port.of_handler(handle, MAX_HEADER_FIELD_BYTES, CLOSE_TIMEOUT_S, connections)


def _refuse(refusal: Refusal) -> web.Response:
    return callers.refusal_response(refusal, "")
