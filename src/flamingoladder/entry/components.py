"""Builds and connects the components of an entry host."""

from __future__ import annotations

import asyncio
import time
from secrets import token_hex
from typing import TYPE_CHECKING

from flamingoladder.entry.active_configuration import ActiveConfiguration
from flamingoladder.entry.forwarder import Forwarder
from flamingoladder.entry.handler import RequestHandler
from flamingoladder.entry.host_reports import HostReporter
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.entry.probing import TargetProber
from flamingoladder.entry.send_check import SendCheck
from flamingoladder.entry.silence_check import SilenceCheck
from flamingoladder.entry.target_ends import TargetEnds
from flamingoladder.feed.contact import StoreContact
from flamingoladder.feed.exchange import FeedExchange
from flamingoladder.feed.followers import FollowerSelection
from flamingoladder.feed.timing import FeedTiming
from flamingoladder.feed.watcher import FeedServices
from flamingoladder.fleet.exchange import FleetPoisonExchange
from flamingoladder.fleet.exchange import RegionalReportExchange
from flamingoladder.fleet.lookups import FleetLookup
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import FleetMessage
from flamingoladder.fleet.object_snapshots import ObjectSnapshotter
from flamingoladder.fleet.processor_use import ProcessorUse
from flamingoladder.fleet.relays import DomainRelays
from flamingoladder.fleet.relays import RegionRelays
from flamingoladder.fleet.report_packing import ReportPacker
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.retry_budgets import RetryBudgets
from flamingoladder.members.member import Member
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.peers.envelope import EnvelopeCodec
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.memberships import MembershipReader
from flamingoladder.platform.object_rows import ObjectRows
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.services import StoreTable
from flamingoladder.platform.target_wire import PlatformTargets
from flamingoladder.poison.detector import PoisonDetector
from flamingoladder.poison.evidence import EvidenceKeeper
from flamingoladder.poison.upkeep import PoisonUpkeep
from flamingoladder.routing.traffic_split import TrafficSplitter
from flamingoladder.targets.notice_learner import NoticeLearner
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from flamingoladder.entry.settings import HostSettings

INCARNATION_BYTES = 8
MIN_CONNECTIONS_PER_TARGET = 4


class EntryComponents:
    """The components of one incarnation of a host; none of them is started."""

    __slots__ = (
        "balancer",
        "configuration",
        "evidence_keeper",
        "feed",
        "handler",
        "lookups",
        "members",
        "membership",
        "memory",
        "object_snapshotter",
        "own_member",
        "peer_links",
        "poison_upkeep",
        "prober",
        "recorder",
        "relays",
        "report_exchange",
        "report_relays",
        "reporter",
        "silence_check",
        "store",
        "target_client",
        "targets",
        "transport",
    )

    def __init__(self, settings: HostSettings) -> None:
        bounds = settings.bounds
        keys = LinkKeys.generate()
        self.own_member = _member(settings, keys)
        self.recorder = Recorder(settings.host, self.own_member.incarnation, kept_events=0)
        self.peer_links = ZmqLinks(
            keys, EnvelopeCodec(FleetMessage), self.recorder, self._opens_link_ahead
        )
        self.memory = MemoryBudget.from_config(settings.memory_mb)
        self.transport = HttpTransport.from_config(settings.store_url, None)
        self.store = RowStore(self.transport)
        self.targets = TargetRegistry(settings.regions_by_domain, self.recorder)
        rate_limiter = FleetRateLimiter(bounds.rate_tolerance, start_full=settings.first_start)
        budgets = RetryBudgets(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
        self.configuration = ActiveConfiguration(self.targets, rate_limiter, self.recorder)
        self.members = MemberRegistry(settings.host, self.recorder)
        self.relays = RegionRelays(self.own_member, self.members)
        self.report_relays = DomainRelays(self.own_member, self.members)
        processor_use = ProcessorUse(settings.capacity_cores)
        self.lookups = FleetLookup(
            self.own_member, self.members, bounds.lookup_ttl_s, processor_use
        )
        slow_start_limit = SlowStartLimit(
            settings.host, bounds.slow_start_overshoot, bounds.slow_start_slack
        )
        balancer = self.balancer = LoadBalancer(
            self.targets,
            self.configuration,
            self.members,
            slow_start_limit,
            settings.region,
            settings.failure_domain,
        )
        self.target_client = PlatformTargets(
            self.targets.removed,
            self._connections_of,
            SendCheck(self.configuration, self.targets).refusal_of,
            self.memory,
        )
        notices = NoticeLearner(self.targets, self.members, self.recorder)
        self.reporter = HostReporter(
            self.targets,
            self.configuration,
            balancer,
            rate_limiter,
            budgets,
            self.members,
            notices,
            processor_use,
        )
        poison_exchange = FleetPoisonExchange(self.peer_links, self.report_relays)
        poison_detector = PoisonDetector(
            poison_exchange, self.recorder, asyncio.get_running_loop().time
        )
        ends = TargetEnds(poison_detector, self.targets)
        self.evidence_keeper = EvidenceKeeper(
            poison_detector, StoreTable(self.store), time.time, self.recorder
        )
        self.poison_upkeep = PoisonUpkeep(
            poison_detector,
            poison_exchange,
            self._hosts_to_ask,
            self.evidence_keeper.restored,
            self.recorder,
        )
        if settings.first_start:
            self.evidence_keeper.restored.set()
            self.poison_upkeep.is_informed = True
        self.report_exchange = RegionalReportExchange(
            self.peer_links,
            self.members,
            self.report_relays,
            self.reporter.build_report,
            self.reporter.apply_reports,
            self.reporter.receive_report,
            ReportPacker(self._known_names, self._names_version),
        )
        self.prober = TargetProber(
            self.targets,
            self.configuration,
            self.target_client,
            ends,
            notices,
            self.recorder,
        )
        self.silence_check = SilenceCheck(poison_detector, self.targets, self.prober, ends)
        forwarder = Forwarder(
            balancer,
            self.target_client,
            budgets,
            poison_detector,
            ends,
            self.prober,
            notices,
            self.recorder,
        )
        self.handler = RequestHandler(
            self.configuration,
            rate_limiter,
            TrafficSplitter(),
            self.poison_upkeep,
            forwarder,
            self.recorder,
        )
        self.membership = MembershipReader(
            self.own_member, self.members, self.store, self._update_links, self.recorder
        )
        self.feed = self._feed(bounds.propagation_s)
        object_rows = ObjectRows(self.store, self.recorder)
        self.object_snapshotter = ObjectSnapshotter(
            self.own_member, self.members, balancer, object_rows
        )

    @classmethod
    def from_config(cls, settings: HostSettings) -> EntryComponents:
        """Return the components; requires a running event loop."""
        return cls(settings)

    async def close(self) -> None:
        """Stop probing and close all connections except those of callers."""
        self.prober.close()
        await self.target_client.close()
        self.peer_links.close()
        await self.transport.close()

    def _feed(self, propagation_s: float) -> FeedServices:
        timing = FeedTiming.from_bound(propagation_s)
        followers = FollowerSelection(self.relays, timing.proof_lifetime_s)
        exchange = FeedExchange(self.peer_links, followers)
        return FeedServices(self.store, exchange, followers, StoreContact(), timing, self.recorder)

    def _connections_of(self, service: str) -> int:
        routing = self.configuration.routing
        configured = None if routing is None else routing.services_by_name.get(service)
        if configured is None:
            return MIN_CONNECTIONS_PER_TARGET
        return max(
            MIN_CONNECTIONS_PER_TARGET, configured.max_connections // self.members.host_count
        )

    def _known_names(self) -> list[str]:
        """Return the names of all workspaces and targets."""
        routing = self.configuration.routing
        workspaces = () if routing is None else routing.workspaces_by_name
        return [*workspaces, *self.targets.by_id]

    def _names_version(self) -> tuple[int | None, int]:
        routing = self.configuration.routing
        version = None if routing is None else routing.version
        return version, self.targets.eligibility_changes

    def _hosts_to_ask(self) -> list[str] | None:
        """Return the other hosts, or None while the store has told this host nothing."""
        return None if self.configuration.routing is None else self.relays.nearest_first()

    def _opens_link_ahead(self, member: Member) -> bool:
        relays = self.report_relays
        return relays.is_neighbour(member.host) or not relays.in_use

    def _update_links(self) -> None:
        self.report_relays.update()
        self.peer_links.update_directory(self.members.members_by_host.values())


def _member(settings: HostSettings, keys: LinkKeys) -> Member:
    return Member(
        settings.host,
        settings.region,
        settings.failure_domain,
        token_hex(INCARNATION_BYTES),
        str(settings.callers),
        f"tcp://{settings.peers}",
        keys.public_key,
        link_mbps=settings.link_mbps,
        takes_compressed=True,
        capacity_cores=settings.capacity_cores,
        relays_by_domain=True,
    )
