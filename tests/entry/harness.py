"""A request handler with a fake target client, for tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.entry.active_configuration import ActiveConfiguration
from flamingoladder.entry.forwarder import Forwarder
from flamingoladder.entry.handler import RequestHandler
from flamingoladder.entry.host_reports import HostReporter
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.entry.probing import TargetProber
from flamingoladder.entry.request import IncomingRequest
from flamingoladder.entry.results import ProbeResult
from flamingoladder.entry.results import SendResult
from flamingoladder.entry.results import SendStatus
from flamingoladder.entry.silence_check import SilenceCheck
from flamingoladder.entry.target_client import TargetClient
from flamingoladder.entry.target_ends import TargetEnds
from flamingoladder.fleet.exchange import FleetPoisonExchange
from flamingoladder.fleet.exchange import RegionalReportExchange
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.relays import RegionRelays
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.retry_budgets import RetryBudgets
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.poison.detector import PoisonDetector
from flamingoladder.poison.evidence import EvidenceKeeper
from flamingoladder.poison.exchange import PoisonExchange
from flamingoladder.poison.upkeep import PoisonUpkeep
from flamingoladder.routing.model import RequestLimits
from flamingoladder.routing.model import Route
from flamingoladder.routing.model import RoutingConfig
from flamingoladder.routing.model import Service
from flamingoladder.routing.model import ServiceShare
from flamingoladder.routing.model import Workspace
from flamingoladder.routing.traffic_split import TrafficSplitter
from flamingoladder.standins.memory import Faults
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.targets.notice_learner import NoticeLearner
from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Mapping
    from collections.abc import Sequence

    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.poison.messages import PoisonReport
    from flamingoladder.storage.table import TableService
    from flamingoladder.targets.state import TargetState

REGIONS_BY_DOMAIN = {"d1": "r1", "d2": "r2"}
ANSWER = SendResult(SendStatus.ANSWERED, "", Answer(200, (), b"hello"))
SERVER_ERROR = SendResult(SendStatus.FAILED, "status 500", Answer(500, (), b"oops"))
CONNECTION_LOST = SendResult(SendStatus.CONNECTION_LOST, "lost")
SHED = SendResult(SendStatus.NOT_RUN, "shed")
MISDIRECTED = SendResult(SendStatus.MISDIRECTED, "other target")
NO_CONNECTION = SendResult(SendStatus.NO_CONNECTION, "refused")
TIMEOUT = SendResult(SendStatus.TIMEOUT, "silent")


class FakeTargetClient(TargetClient):
    """Returns ``results`` in turn, then ``ANSWER``."""

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
        """Do nothing, as no connection is open."""


def routing_config(**changes: object) -> RoutingConfig:
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


class RecordingPoisonExchange(PoisonExchange):
    """Keeps what it is to send, as there are no other hosts."""

    def __init__(self) -> None:
        self.sent: list[PoisonReport] = []

    def broadcast(self, report: PoisonReport) -> None:
        self.sent.append(report)

    async def query(self, host: str) -> PoisonReport | None:
        return None

    def serve(
        self, on_report: Callable[[PoisonReport, float], None], known: Callable[[], PoisonReport]
    ) -> None:
        """Do nothing, as no report comes."""


class EntryHarness:
    """A request handler with a fake target client and three targets in two regions."""

    def __init__(
        self,
        client: FakeTargetClient,
        routing: RoutingConfig | None = None,
        host: str = "h0",
        region: str = "r1",
        regions_by_domain: Mapping[str, str] = REGIONS_BY_DOMAIN,
        member: Member | None = None,
        links: PeerLinks | None = None,
        records: Sequence[TargetRecord] = (),
        table: TableService | None = None,
    ) -> None:
        table = table or MemoryTable(StoredTable(), Faults())
        self.recorder = recorder = Recorder(host, "i")
        self.client = client
        self.targets = TargetRegistry(regions_by_domain, recorder)
        self.rate_limiter = FleetRateLimiter(RateTolerance(), start_full=True)
        self.budgets = RetryBudgets(0.2, 58.0, 10.0)
        self.configuration = ActiveConfiguration(self.targets, self.rate_limiter, recorder)
        self.members = MemberRegistry(host, recorder)
        self.work: list[Coroutine[object, object, object]] = []
        self.poison_exchange: PoisonExchange = RecordingPoisonExchange()
        if member is not None and links is not None:
            relays = RegionRelays(member, self.members)
            self.poison_exchange = FleetPoisonExchange(links, relays)
        self.poison_detector = PoisonDetector(
            self.poison_exchange, recorder, asyncio.get_running_loop().time
        )
        self.evidence_keeper = EvidenceKeeper(
            self.poison_detector, table, asyncio.get_running_loop().time, recorder
        )
        self.poison_upkeep = PoisonUpkeep(
            self.poison_detector,
            self.poison_exchange,
            self._hosts_to_ask,
            self.evidence_keeper.restored,
            recorder,
        )
        self.poison_upkeep.is_informed = True
        self._relays = None if member is None else RegionRelays(member, self.members)
        self.ends = TargetEnds(self.poison_detector, self.targets)
        self.balancer = balancer = LoadBalancer(
            self.targets, self.configuration, self.members, SlowStartLimit(host, 1.5, 5.0), region
        )
        self.notices = NoticeLearner(self.targets, self.members, recorder)
        self.prober = TargetProber(
            self.targets,
            self.configuration,
            client,
            self.ends,
            self.notices,
            recorder,
        )
        forwarder = Forwarder(
            balancer,
            client,
            self.budgets,
            self.poison_detector,
            self.ends,
            self.prober,
            self.notices,
            recorder,
        )
        self.handler = RequestHandler(
            self.configuration,
            self.rate_limiter,
            TrafficSplitter(),
            self.poison_upkeep,
            forwarder,
            recorder,
        )
        self.reporter = HostReporter(
            self.targets,
            self.configuration,
            balancer,
            self.rate_limiter,
            self.budgets,
            self.members,
            self.notices,
        )
        self.configuration.set_routing(routing or routing_config(), 0.0)
        for record in records:
            self.targets.put(record, asyncio.get_running_loop().time())
        if member is not None and links is not None:
            self._join(member, links)
        if not records:
            for number, domain in enumerate(["d1", "d2", "d2"]):
                self.add(f"t{number}", domain)

    def close(self) -> None:
        """End what runs for this host."""
        self.prober.close()

    def _hosts_to_ask(self) -> list[str]:
        return [] if self._relays is None else self._relays.nearest_first()

    def _join(self, member: Member, links: PeerLinks) -> None:
        exchange = RegionalReportExchange(
            links,
            self.members,
            RegionRelays(member, self.members),
            self.reporter.build_report,
            self.reporter.apply_reports,
            self.reporter.receive_report,
        )
        silence = SilenceCheck(self.poison_detector, self.targets, self.prober, self.ends)
        self.work += [exchange.run(), silence.run(), self.poison_upkeep.run()]
        self.work.append(self.evidence_keeper.run())

    def add(self, target_id: str, domain: str = "d1", *, slow_start_s: float = 0.0) -> None:
        """Register a target."""
        record = TargetRecord(
            target_id=target_id,
            service="s",
            address="10.0.0.1:80",
            failure_domain=domain,
            slots=3,
            draining=False,
            slow_start_s=slow_start_s,
        )
        self.targets.put(record, asyncio.get_running_loop().time())


def incoming(
    path: str = "/get/1",
    *,
    keys: tuple[str, ...] = ("k",),
    host: str = "a.example",
    caller_timeout_s: float = 2.0,
    request_id: str = "r-1",
    affinity_key: str = "17",
    caller: str = "",
) -> IncomingRequest:
    return IncomingRequest(
        request_id=request_id,
        method="GET",
        host=host,
        path=path,
        headers=(),
        body=b"",
        keys=keys,
        affinity_key=affinity_key,
        caller_timeout_s=caller_timeout_s,
        caller=caller,
    )
