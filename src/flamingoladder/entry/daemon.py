"""The entry daemon on a platform: builds its slices, runs them, and stops them in order."""

from __future__ import annotations

import asyncio
import gc
import signal
from secrets import token_hex
from typing import TYPE_CHECKING

from aiohttp import web

from flamingoladder.entry.beliefs import Beliefs
from flamingoladder.entry.chooser import TargetChooser
from flamingoladder.entry.crashes import CrashGuard
from flamingoladder.entry.forwarder import Forwarder
from flamingoladder.entry.handler import RequestHandler
from flamingoladder.entry.intake import read_body
from flamingoladder.entry.metrics import CONTENT_TYPE
from flamingoladder.entry.metrics import EntryMetrics
from flamingoladder.entry.probing import TargetProber
from flamingoladder.entry.reporting import Reporter
from flamingoladder.entry.server import CallerGate
from flamingoladder.entry.server import Phase
from flamingoladder.entry.server import Port
from flamingoladder.fleet.exchange import ReportExchange
from flamingoladder.fleet.kept_objects import ObjectKeeper
from flamingoladder.fleet.lookups import FleetLookup
from flamingoladder.fleet.members import MemberBook
from flamingoladder.fleet.messages import FleetMessage
from flamingoladder.limits.rates import FleetRates
from flamingoladder.limits.retries import RetryBudgets
from flamingoladder.members.state import Member
from flamingoladder.peers.envelope import EnvelopeCodec
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.platform import callers
from flamingoladder.platform import memberships
from flamingoladder.platform import operators
from flamingoladder.platform import registry
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.memberships import MembershipReader
from flamingoladder.platform.object_rows import ObjectRows
from flamingoladder.platform.operators import OperatorReader
from flamingoladder.platform.registry import RegistryReader
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.target_wire import PlatformTargets
from flamingoladder.platform.watcher import TableWatcher
from flamingoladder.routing.split import SplitChooser
from flamingoladder.targets.book import TargetBook
from flamingoladder.targets.ramp import ColdRamp
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.entry.request import ArrivedRequest
    from flamingoladder.entry.settings import HostSettings
    from flamingoladder.platform.watcher import TableReader

LINGER_S = 3.0
EXIT_MARGIN_S = 0.4
FAREWELL_S = 0.1
UPKEEP_INTERVAL_S = 0.25
INCARNATION_BYTES = 8
NO_ROUTE = "none"


def _none_dropped() -> float:
    return 0.0


class EntryHost:
    """The slices of one entry host."""

    def __init__(self, settings: HostSettings, dropped_lines: Callable[[], float]) -> None:
        bounds = settings.bounds
        self._settings = settings
        incarnation = token_hex(INCARNATION_BYTES)
        keys = LinkKeys.generate()
        self._own = Member(
            settings.host,
            settings.region,
            settings.failure_domain,
            incarnation,
            str(settings.callers),
            f"tcp://{settings.peers}",
            keys.public_key,
        )
        self._recorder = recorder = Recorder(settings.host, incarnation, kept_events=0)
        self._metrics = EntryMetrics(dropped_lines)
        self._metrics.follow(recorder.events)
        self._links = ZmqLinks(keys, EnvelopeCodec(FleetMessage), recorder)
        self._transport = HttpTransport.from_config(settings.store_url, None)
        self._store = RowStore(self._transport)
        self._targets = TargetBook(settings.regions_by_domain, recorder)
        self._rates = FleetRates(start_full=settings.first_start)
        self._budgets = RetryBudgets(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
        self._beliefs = Beliefs(self._targets, self._rates, recorder)
        self._members = MemberBook(settings.host, recorder)
        self._lookups = FleetLookup(self._own, self._members)
        ramp = ColdRamp(settings.host, bounds.ramp_overshoot, bounds.ramp_slack)
        self._chooser = TargetChooser(
            self._targets, self._beliefs, self._members, ramp, settings.region
        )
        self._wire = PlatformTargets(self._targets.removed)
        self._reporter = Reporter(
            self._targets, self._chooser, self._rates, self._budgets, self._members
        )
        self._crashes = CrashGuard(lambda report: self._exchange.tell_crash(report))
        self._exchange = ReportExchange(
            self._links,
            self._members,
            self._reporter.report,
            self._reporter.take_in,
            self._crashes.count,
        )
        self._prober = TargetProber(
            self._targets, self._beliefs, self._wire, self._crashes.saw_down, recorder
        )
        forwarder = Forwarder(
            self._chooser, self._wire, self._budgets, self._crashes, self._prober, recorder
        )
        self._handler = RequestHandler(
            self._beliefs, self._rates, SplitChooser(), self._crashes, forwarder, recorder
        )
        self._membership = MembershipReader(
            self._own, self._members, self._store, self._update_links, recorder
        )
        self._objects = ObjectKeeper(
            self._own, self._members, self._chooser, ObjectRows(self._store, recorder)
        )
        self._gate = CallerGate(self._serve, _refuse)
        self._callers = Port(self._gate.handle)
        self._health = Port(self._ready)
        self._directory = Port(self._lookup)
        self._exposition = Port(self._expose)
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls, settings: HostSettings, dropped_lines: Callable[[], float] = _none_dropped
    ) -> EntryHost:
        """Return a host; to be called with a running event loop."""
        return cls(settings, dropped_lines)

    async def start(self) -> None:
        """Bind all ports, then join the fleet.

        :raises OSError: if a port can't be had.
        """
        settings = self._settings
        self._links.start(f"tcp://{settings.peers}")
        await self._callers.open(settings.callers)
        await self._health.open(settings.health)
        await self._directory.open(settings.lookups)
        await self._exposition.open(settings.metrics)
        self._follow(operators.TABLE, OperatorReader(self._beliefs, self._recorder))
        self._follow(registry.TABLE, RegistryReader(self._targets, self._recorder))
        self._follow(memberships.TABLE, self._membership)
        self._tasks += [
            asyncio.create_task(self._membership.register()),
            asyncio.create_task(self._exchange.run()),
            asyncio.create_task(self._objects.run()),
            asyncio.create_task(self._keep_up()),
        ]
        self._recorder.record("host.started", address=settings.callers)

    async def stop(self) -> None:
        """Stop gracefully: be not ready, serve what still comes, finish, and leave the fleet."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        latest = began + self._settings.bounds.grace_s - EXIT_MARGIN_S
        self._recorder.record("host.stopping", in_progress=self._gate.in_progress.count)
        self._gate.phase = Phase.LEAVING
        self._lookups.leaving = True
        self._reporter.leaving = True
        self._exchange.send(loop.time())
        await asyncio.sleep(LINGER_S)
        await self._callers.stop_listening()
        self._gate.phase = Phase.STOPPING
        finished = await self._gate.in_progress.wait_until_idle(latest - loop.time())
        for task in self._tasks:
            task.cancel()
        leaving = asyncio.create_task(self._membership.leave())
        await asyncio.wait([leaving], timeout=FAREWELL_S)
        self._recorder.record("host.stopped", requests_finished=finished)
        await self.close()

    @property
    def version(self) -> int | None:
        """Return the version of the configuration in force here, if there is one."""
        return None if self._beliefs.plan is None else self._beliefs.plan.version

    def serves_with(self, others: int) -> bool:
        """Return whether this host serves callers and hears this number of other hosts."""
        now = asyncio.get_running_loop().time()
        targets = self._targets.by_id
        return self._is_ready and bool(targets) and len(self._members.heard(now)) >= others

    async def close(self) -> None:
        """End at once, without a word to other hosts."""
        for task in self._tasks:
            task.cancel()
        self._prober.close()
        await self._callers.close()
        await self._health.close()
        await self._directory.close()
        await self._exposition.close()
        await self._wire.close()
        self._links.close()
        await self._transport.close()

    def reload(self) -> None:
        """Note that the settings file changed; nothing in it changes while a host runs."""
        self._recorder.record("host.reloaded")

    def _follow(self, table: str, reader: TableReader) -> None:
        watcher = TableWatcher(self._store, table, reader, self._recorder)
        self._tasks.append(asyncio.create_task(watcher.run()))

    def _update_links(self) -> None:
        self._links.update_directory(self._members.members_by_host.values())

    async def _keep_up(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            now = loop.time()
            self._targets.expire(now)
            serving = [member.host for member in self._members.serving(now)]
            if any(host < self._own.host for host in serving):
                continue
            for member in self._members.lost(now):
                self._recorder.record("host.forgotten", peer=member.host)
                await self._membership.forget(member.host)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started = asyncio.get_running_loop().time()
        plan = self._beliefs.plan
        limit = None if plan is None else plan.limits.max_body_bytes
        body = await read_body(request, limit)
        if isinstance(body, Refusal):
            response = callers.refusal_response(body, "")
            response.force_close()
            return response
        arrived = callers.arrived_request(request, body)
        outcome = await self._handler.handle(arrived, started)
        response = callers.response_to(outcome, arrived.request_id)
        seconds = asyncio.get_running_loop().time() - started
        self._metrics.answered(self._route_name(arrived), response.status, seconds)
        return response

    def _route_name(self, arrived: ArrivedRequest) -> str:
        plan = self._beliefs.plan
        route = None if plan is None else plan.route_of(arrived.host, arrived.path)
        return NO_ROUTE if route is None else route.name

    async def _expose(self, request: web.BaseRequest) -> web.StreamResponse:
        found = {"Content-Type": CONTENT_TYPE}
        return web.Response(body=self._metrics.text(), headers=found)

    @property
    def _is_ready(self) -> bool:
        return self._gate.phase is Phase.SERVING and self._beliefs.plan is not None

    async def _ready(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._is_ready else 503)

    async def _lookup(self, request: web.BaseRequest) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        answer = self._lookups.answer(callers.lookup_region(request), now)
        return callers.lookup_response(answer)


async def run_host(settings: HostSettings, dropped_lines: Callable[[], float]) -> None:
    """Run an entry host until SIGTERM or SIGINT, then stop it gracefully.

    :raises OSError: if a port can't be had.
    """
    asked_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    host = EntryHost.from_config(settings, dropped_lines)
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, asked_to_stop.set)
    loop.add_signal_handler(signal.SIGHUP, host.reload)
    await host.start()
    # What was imported and built lives for good: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await asked_to_stop.wait()
    await host.stop()


def _refuse(refusal: Refusal) -> web.Response:
    return callers.refusal_response(refusal, "")
