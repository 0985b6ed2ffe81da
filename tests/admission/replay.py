"""Replays loads on injected time: a host, targets with slots, and callers; no network."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import OrderedDict
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.fleet.members import REPORT_INTERVAL_S
from flamingoladder.members.member import Member
from flamingoladder.routing.model import RequestLimits
from flamingoladder.routing.model import Route
from flamingoladder.routing.model import RoutingConfig
from flamingoladder.routing.model import Service
from flamingoladder.routing.model import ServiceShare
from flamingoladder.routing.model import Workspace
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.targets.notices import LoadReport
from flamingoladder.targets.record import TargetRecord
from flamingoladder.verdict import Verdict
from tests.entry.harness import ANSWER
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.entry.results import SendResult
    from flamingoladder.targets.state import TargetState
    from flamingoladder.verdict import Outcome

SLOTS = 3
TARGETS = 4
RUN_S = 0.1
CAPACITY_PER_S = TARGETS * SLOTS / RUN_S
OBJECTS_PER_TARGET = 20
WARM_OBJECTS = 40
SEED = 11
# So high that no request exceeds it, but hosts report the demand of workspaces that have a rate.
RATE = 100_000.0


class SlotClient(FakeTargetClient):
    """Targets that run ``SLOTS`` requests at once and queue the others, first in, first out."""

    def __init__(self, run_s: float, cold_run_s: float) -> None:
        super().__init__()
        self.run_s = run_s
        self.cold_run_s = cold_run_s
        self.ran: list[str] = []
        self.deepest = 0
        self._slots_by_target: dict[str, asyncio.Semaphore] = {}
        self._waiting: Counter[str] = Counter()
        self._warm_by_target: dict[str, OrderedDict[str, None]] = {}

    def _run_s(self, target: str, object_key: str) -> float:
        warm = self._warm_by_target.setdefault(target, OrderedDict())
        is_warm = object_key in warm
        warm[object_key] = None
        warm.move_to_end(object_key)
        if len(warm) > WARM_OBJECTS:
            warm.popitem(last=False)
        return self.run_s if is_warm else self.cold_run_s

    async def send(self, request: RoutedRequest, target: TargetState) -> SendResult:
        name = target.record.target_id
        self.sent.append(request.incoming.request_id)
        self._waiting[name] += 1
        self.deepest = max(self.deepest, self._waiting[name] - SLOTS)
        try:
            async with self._slots_by_target.setdefault(name, asyncio.Semaphore(SLOTS)):
                self.ran.append(request.incoming.request_id)
                await asyncio.sleep(self._run_s(name, request.object_key or ""))
        finally:
            self._waiting[name] -= 1
        left = self._waiting[name]
        load = LoadReport(min(left, SLOTS), max(0, left - SLOTS), SLOTS)
        target.update_load(load, asyncio.get_running_loop().time())
        return ANSWER


class Load(msgspec.Struct, frozen=True):
    """Requests of one workspace for one route, at random times from ``start_s`` to ``end_s``.

    ``retries`` is how often a refused caller repeats; it waits for ``Retry-After`` times
    ``patience``. ``host`` is the number of the host that it uses, None for any.
    """

    workspace: str
    route: str
    per_s: float
    start_s: float = 0.0
    end_s: float = 20.0
    retries: int = 0
    patience: float = 1.0
    host: int | None = None


class Tally:
    """Ends of requests by load: first attempts, and all attempts together."""

    def __init__(self) -> None:
        self.asked: Counter[Load] = Counter()
        self.first_served: Counter[Load] = Counter()
        self.in_time: Counter[Load] = Counter()
        self.refused_ids: set[str] = set()
        self.held_s = 0.0
        self.retry_times: list[float] = []

    def share(self, *loads: Load) -> float:
        """Return the fraction of the loads' requests that was answered in time."""
        return sum(self.in_time[of] for of in loads) / sum(self.asked[of] for of in loads)

    def first_share(self, *loads: Load) -> float:
        """Return the fraction of the loads' requests whose first attempt was answered."""
        return sum(self.first_served[of] for of in loads) / sum(self.asked[of] for of in loads)


def routing(
    priorities: dict[str, int], slos_s: dict[str, float], names: Iterable[str]
) -> RoutingConfig:
    """Return a configuration with one service, a route for each priority, and workspaces."""
    routes = tuple(
        Route(
            name=name,
            host="a.example",
            prefix=f"/{name}/",
            idempotent=True,
            timeout_s=2 * slos_s[name],
            latency_slo_s=slos_s[name],
            priority=priority,
            shares=(ServiceShare("s", 1.0),),
            max_targets=2,
            open=False,
            sticky=True,
        )
        for name, priority in priorities.items()
    )
    workspaces = {name: Workspace(name=name, rate_per_s=RATE, burst=RATE) for name in names}
    service = Service(
        name="s",
        health_path="/healthz",
        max_connections=100,
        slow_start_s=3.0,
        slow_start_rate_per_s=2.9,
    )
    return RoutingConfig(
        version=1,
        routes_by_host={"a.example": routes},
        services_by_name={"s": service},
        workspaces_by_key={f"k-{name}": of for name, of in workspaces.items()},
        workspaces_by_name=workspaces,
        limits=RequestLimits(),
        priorities=frozenset(priorities.values()),
    )


def record(target_id: str) -> TargetRecord:
    """Return the registration of a target."""
    return TargetRecord(
        target_id=target_id,
        service="s",
        address="10.0.0.1:80",
        failure_domain="d1",
        slots=SLOTS,
        draining=False,
        slow_start_s=0.0,
    )


def member(host: str) -> Member:
    """Return the registration of a host."""
    return Member(host, "r1", "d1", "i", "", "", "")


class Replay:
    """Hosts that report to each other, their targets, and the callers of some loads."""

    def __init__(
        self,
        loads: Iterable[Load],
        priorities: dict[str, int],
        slos_s: dict[str, float],
        host_count: int = 1,
        run_s: float = RUN_S,
        cold_run_s: float = RUN_S,
        target_count: int = TARGETS,
        seed: int = SEED,
    ) -> None:
        self.target_count = target_count
        self.host_count = host_count
        self.loads = tuple(loads)
        names = {load.workspace for load in self.loads}
        self.routing = routing(priorities, slos_s, names)
        self.slos_s = slos_s
        self.tally = Tally()
        self.client = SlotClient(run_s, cold_run_s)
        self.random = Random(seed)

    def run(self) -> Tally:
        """Return what came of all requests."""
        return run_on_injected_time(self._run())

    async def _run(self) -> Tally:
        self.hosts = [
            EntryHarness(
                self.client,
                self.routing,
                host=f"h{number}",
                records=[record(f"t{of}") for of in range(self.target_count)],
            )
            for number in range(self.host_count)
        ]
        for host in self.hosts:
            for number in range(self.host_count):
                host.members.put(member(f"h{number}"), 0.0)
        reports = asyncio.create_task(self._report())
        objects = OBJECTS_PER_TARGET * self.target_count
        async with asyncio.TaskGroup() as group:
            for load in self.loads:
                at = load.start_s + self.random.expovariate(load.per_s)
                while at < load.end_s:
                    group.create_task(self._call(load, at, self.random.randrange(objects)))
                    at += self.random.expovariate(load.per_s)
        reports.cancel()
        return self.tally

    async def _report(self) -> None:
        for sequence in count(1):
            await asyncio.sleep(REPORT_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            reports = [host.reporter.build_report(now) for host in self.hosts]
            for host in self.hosts:
                for number, report in enumerate(reports):
                    newer = msgspec.structs.replace(report, sequence=sequence)
                    host.members.receive(f"h{number}", "i", newer, now)
                host.reporter.apply_reports(now)
                host.admission.drain()

    async def _call(self, load: Load, at: float, object_: int) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(at)
        tally = self.tally
        tally.asked[load] += 1
        name = f"{load.workspace}-{load.route}-{at:.9f}"
        for attempt in range(load.retries + 1):
            started = loop.time()
            outcome = await self._attempt(load, f"{name}-{attempt}", name, object_, started)
            seconds = loop.time() - started
            if outcome.is_ok():
                tally.first_served[load] += attempt == 0
                tally.in_time[load] += seconds <= self.slos_s[load.route]
                return
            if outcome.error.verdict is Verdict.NOT_RUN:
                tally.refused_ids.add(f"{name}-{attempt}")
                tally.held_s = max(tally.held_s, seconds)
            retry_after_s = outcome.error.retry_after_s or 0.25
            tally.retry_times.append(loop.time() + retry_after_s)
            await asyncio.sleep(retry_after_s * load.patience)

    async def _attempt(
        self, load: Load, request_id: str, name: str, object_: int, started: float
    ) -> Outcome:
        request = incoming(
            f"/{load.route}/{name}",
            keys=(f"k-{load.workspace}",),
            request_id=request_id,
            affinity_key=str(object_),
            caller_timeout_s=2 * self.slos_s[load.route],
        )
        number = self.random.randrange(self.host_count) if load.host is None else load.host
        return await self.hosts[number].handler.handle(request, started)
