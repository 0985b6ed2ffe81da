"""The path of a request on a fake wire."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.entry.beliefs import Beliefs
from flamingoladder.entry.chooser import TargetChooser
from flamingoladder.entry.crashes import CrashGuard
from flamingoladder.entry.forwarder import Forwarder
from flamingoladder.entry.handler import RequestHandler
from flamingoladder.entry.outcomes import ProbeResult
from flamingoladder.entry.outcomes import SendEnd
from flamingoladder.entry.outcomes import SendResult
from flamingoladder.entry.probing import TargetProber
from flamingoladder.entry.request import ArrivedRequest
from flamingoladder.entry.wire import TargetWire
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.retry_budgets import RetryBudgets
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.routing.model import RequestLimits
from flamingoladder.routing.model import Route
from flamingoladder.routing.model import RoutingConfig
from flamingoladder.routing.model import Service
from flamingoladder.routing.model import ServiceShare
from flamingoladder.routing.model import Workspace
from flamingoladder.routing.traffic_split import TrafficSplitter
from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Answer

if TYPE_CHECKING:

    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.targets.state import TargetState

ANSWER = SendResult(SendEnd.ANSWERED, "", Answer(200, (), b"hello"))
OWN_500 = SendResult(SendEnd.FAILED, "status 500", Answer(500, (), b"oops"))
LOST = SendResult(SendEnd.LOST, "lost")
SHED = SendResult(SendEnd.NOT_RUN, "shed")
OTHER = SendResult(SendEnd.OTHER_TARGET, "other target")
UNREACHED = SendResult(SendEnd.NO_CONNECTION, "refused")
SILENT = SendResult(SendEnd.TIMEOUT, "silent")


class FakeWire(TargetWire):
    """Answers sends with ``results`` in turn, then with ``ANSWER``."""

    def __init__(self, *results: SendResult) -> None:
        self.results = list(results)
        self.sent: list[str] = []
        self.healthy = True
        self.work_s = 0.0
        self.cancelled = 0

    async def send(self, request: RoutedRequest, target: TargetState) -> SendResult:
        self.sent.append(target.record.target_id)
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.results.pop(0) if self.results else ANSWER

    async def probe(self, target: TargetState, path: str, timeout_s: float) -> ProbeResult:
        await asyncio.sleep(0.01)
        return ProbeResult(self.healthy, 0.0)

    async def close(self) -> None:
        """Nothing is open."""


def plan(**changes: object) -> RoutingConfig:
    def route(name: str, **more: object) -> Route:
        fields: dict[str, object] = {
            "name": name,
            "host": "a.example",
            "prefix": f"/{name}/",
            "idempotent": True,
            "timeout_s": 1.0,
            "latency_slo_s": 0.5,
            "priority": 2,
            "shares": (ServiceShare("s", 1.0),),
            "max_targets": 2,
            "open": False,
            "sticky": True,
            **changes,
            **more,
        }
        return Route(**fields)  # type: ignore[arg-type]

    turf = Workspace(name="turf", rate_per_s=0.0, burst=0.0)
    small = Workspace(name="small", rate_per_s=1.0, burst=1.0)
    north = Workspace(name="north", rate_per_s=0.0, burst=0.0, regions=frozenset({"r1"}))
    urgent = Workspace(name="urgent", rate_per_s=0.0, burst=0.0, priority=1)
    routes = (route("get"), route("book", idempotent=False), route("open", open=True))
    return RoutingConfig(
        version=1,
        routes_by_host={"a.example": routes},
        services_by_name={
            "s": Service(
                name="s",
                health_path="/healthz",
                max_connections=100,
                slow_start_s=3.0,
                slow_start_rate_per_s=2.9,
            )
        },
        workspaces_by_key={"k": turf, "k-small": small, "k-north": north, "k-urgent": urgent},
        workspaces_by_name={"turf": turf, "small": small, "north": north, "urgent": urgent},
        limits=RequestLimits(),
        priorities=frozenset({1, 2}),
    )


class Path:
    """A handler over a fake wire with three targets."""

    def __init__(self, wire: FakeWire, route_plan: RoutingConfig | None = None) -> None:
        recorder = Recorder("h0", "i")
        self.wire = wire
        self.book = TargetRegistry({"d1": "r1", "d2": "r2"}, recorder)
        self.rates = FleetRateLimiter(RateTolerance(), start_full=True)
        self.budgets = RetryBudgets(0.2, 58.0, 10.0)
        self.beliefs = Beliefs(self.book, self.rates, recorder)
        self.members = MemberRegistry("h0", recorder)
        self.told: list[object] = []
        self.crashes = CrashGuard(self.told.append)
        self.chooser = chooser = TargetChooser(
            self.book, self.beliefs, self.members, SlowStartLimit("h0", 1.5, 5.0), "r1"
        )
        self.prober = TargetProber(self.book, self.beliefs, wire, self.crashes.saw_down, recorder)
        forwarder = Forwarder(chooser, wire, self.budgets, self.crashes, self.prober, recorder)
        self.handler = RequestHandler(
            self.beliefs, self.rates, TrafficSplitter(), self.crashes, forwarder, recorder
        )
        self.beliefs.set_plan(route_plan or plan(), 0.0)
        for number, domain in enumerate(["d1", "d2", "d2"]):
            self.add(f"t{number}", domain)

    def add(self, target_id: str, domain: str = "d1", *, cold_s: float = 0.0) -> None:
        """Register a target."""
        record = TargetRecord(
            target_id=target_id,
            service="s",
            address="10.0.0.1:80",
            failure_domain=domain,
            slots=3,
            draining=False,
            slow_start_s=cold_s,
        )
        self.book.put(record, asyncio.get_running_loop().time())


def arrived(
    path: str = "/get/1",
    *,
    keys: tuple[str, ...] = ("k",),
    host: str = "a.example",
    patience_s: float = 2.0,
    request_id: str = "r-1",
) -> ArrivedRequest:
    return ArrivedRequest(
        request_id=request_id,
        method="GET",
        host=host,
        path=path,
        headers=(),
        body=b"",
        keys=keys,
        affinity="17",
        patience_s=patience_s,
    )
