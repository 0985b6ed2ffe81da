"""Builds the slices of one entry host and joins them."""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING

from flamingoladder.entry.beliefs import Beliefs
from flamingoladder.entry.chooser import TargetChooser
from flamingoladder.entry.crashes import CrashGuard
from flamingoladder.entry.forwarder import Forwarder
from flamingoladder.entry.handler import RequestHandler
from flamingoladder.entry.probing import TargetProber
from flamingoladder.entry.reporting import Reporter
from flamingoladder.fleet.exchange import CrashExchange
from flamingoladder.fleet.exchange import ReportExchange
from flamingoladder.fleet.kept_objects import ObjectKeeper
from flamingoladder.fleet.lookups import FleetLookup
from flamingoladder.fleet.members import MemberBook
from flamingoladder.fleet.messages import FleetMessage
from flamingoladder.limits.rates import FleetRates
from flamingoladder.limits.retries import RetryBudgets
from flamingoladder.members.member import Member
from flamingoladder.peers.envelope import EnvelopeCodec
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.memberships import MembershipReader
from flamingoladder.platform.object_rows import ObjectRows
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.target_wire import PlatformTargets
from flamingoladder.routing.split import SplitChooser
from flamingoladder.targets.book import TargetBook
from flamingoladder.targets.ramp import ColdRamp
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from flamingoladder.entry.settings import HostSettings

INCARNATION_BYTES = 8
MIN_CONNECTIONS = 4


class EntrySlices:
    """All slices of one incarnation of a host; nothing runs yet."""

    __slots__ = (
        "beliefs",
        "exchange",
        "handler",
        "links",
        "lookups",
        "members",
        "membership",
        "objects",
        "own",
        "prober",
        "recorder",
        "reporter",
        "store",
        "targets",
        "transport",
        "wire",
    )

    def __init__(self, settings: HostSettings) -> None:
        bounds = settings.bounds
        keys = LinkKeys.generate()
        self.own = _member(settings, keys)
        self.recorder = Recorder(settings.host, self.own.incarnation, kept_events=0)
        self.links = ZmqLinks(keys, EnvelopeCodec(FleetMessage), self.recorder)
        self.transport = HttpTransport.from_config(settings.store_url, None)
        self.store = RowStore(self.transport)
        self.targets = TargetBook(settings.regions_by_domain, self.recorder)
        rates = FleetRates(bounds.rates, start_full=settings.first_start)
        budgets = RetryBudgets(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
        self.beliefs = Beliefs(self.targets, rates, self.recorder)
        self.members = MemberBook(settings.host, self.recorder)
        self.lookups = FleetLookup(self.own, self.members, bounds.lookup_lifetime_s)
        ramp = ColdRamp(settings.host, bounds.ramp_overshoot, bounds.ramp_slack)
        chooser = TargetChooser(self.targets, self.beliefs, self.members, ramp, settings.region)
        self.wire = PlatformTargets(self.targets.removed, self._connections_of)
        self.reporter = Reporter(self.targets, self.beliefs, chooser, rates, budgets, self.members)
        news = CrashExchange(self.links)
        crashes = CrashGuard(news.tell)
        news.follow(crashes.count)
        self.exchange = ReportExchange(
            self.links,
            self.members,
            self.reporter.report,
            self.reporter.take_in,
            self.reporter.receive,
        )
        self.prober = TargetProber(
            self.targets, self.beliefs, self.wire, crashes.saw_down, self.recorder
        )
        forwarder = Forwarder(chooser, self.wire, budgets, crashes, self.prober, self.recorder)
        self.handler = RequestHandler(
            self.beliefs, rates, SplitChooser(), crashes, forwarder, self.recorder
        )
        self.membership = MembershipReader(
            self.own, self.members, self.store, self._update_links, self.recorder
        )
        shelf = ObjectRows(self.store, self.recorder)
        self.objects = ObjectKeeper(self.own, self.members, chooser, shelf)

    @classmethod
    def from_config(cls, settings: HostSettings) -> EntrySlices:
        """Return the slices; to be called with a running event loop."""
        return cls(settings)

    async def close(self) -> None:
        """Stop probing and close all connections but callers'."""
        self.prober.close()
        await self.wire.close()
        self.links.close()
        await self.transport.close()

    def _connections_of(self, service: str) -> int:
        plan = self.beliefs.plan
        known = None if plan is None else plan.services_by_name.get(service)
        if known is None:
            return MIN_CONNECTIONS
        return max(MIN_CONNECTIONS, known.max_connections // self.members.hosts)

    def _update_links(self) -> None:
        self.links.update_directory(self.members.members_by_host.values())


def _member(settings: HostSettings, keys: LinkKeys) -> Member:
    return Member(
        settings.host,
        settings.region,
        settings.failure_domain,
        token_hex(INCARNATION_BYTES),
        str(settings.callers),
        f"tcp://{settings.peers}",
        keys.public_key,
    )
