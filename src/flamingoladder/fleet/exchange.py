"""Exchange of reports between hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.fleet.messages import HostReport
from flamingoladder.fleet.messages import PackedReports
from flamingoladder.fleet.messages import RegionReports
from flamingoladder.fleet.region_reports import RegionReportQueue
from flamingoladder.fleet.relays import RELAYS_PER_REGION
from flamingoladder.fleet.report_packing import ReportPacker
from flamingoladder.poison.exchange import LinkPoisonExchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.fleet.messages import ForwardedReport
    from flamingoladder.fleet.relays import RegionRelays
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.poison.messages import PoisonReport


EMPTY_REPORT = HostReport()
# Sending every empty report took 3.5% of a core on an idle host, one in three takes 2.0%. That is
# one report in 0.75 s, while the lifetime of a report is 1.6 s.
EMPTY_REPORTS_PER_SEND = 3


class ReportExchange:
    """Sends this host's reports to all others periodically; the next report replaces a lost one.

    Only one of ``EMPTY_REPORTS_PER_SEND`` successive empty reports is sent, as a heartbeat.

    ``make_report`` returns the report to send, ``apply_reports`` applies the latest reports of all
    hosts, and ``on_report`` is called for each report as it arrives.
    """

    __slots__ = (
        "_apply_reports",
        "_empty_reports",
        "_links",
        "_make_report",
        "_members",
        "_report_callback",
        "_sequence",
    )

    def __init__(
        self,
        links: PeerLinks,
        members: MemberRegistry,
        make_report: Callable[[float], HostReport],
        apply_reports: Callable[[float], None],
        on_report: Callable[[str, HostReport, float], None] | None = None,
    ) -> None:
        self._links = links
        self._members = members
        self._make_report = make_report
        self._apply_reports = apply_reports
        self._report_callback = on_report
        self._empty_reports = 0
        self._sequence = 0
        links.subscribe(HostReport, self._on_report)

    async def run(self) -> None:
        """Send reports until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.send(loop.time())
            await asyncio.sleep(self._members.report_interval_s)

    def send(self, now: float) -> None:
        """Send a report if it is due, and apply the reports of the other hosts."""
        report = self._make_report(now)
        if self._is_due(report):
            self._sequence += 1
            self._distribute(msgspec.structs.replace(report, sequence=self._sequence), now)
        self._apply_reports(now)

    def _distribute(self, report: HostReport, now: float) -> None:
        self._links.send_all(self._links.hosts, report)

    def _is_due(self, report: HostReport) -> bool:
        # Without what changes slowly, so that an idle host reports no more often for it.
        compared = msgspec.structs.replace(report, busy_tenths=0)
        is_empty = compared == EMPTY_REPORT
        self._empty_reports = self._empty_reports + 1 if is_empty else 0
        return self._empty_reports % EMPTY_REPORTS_PER_SEND == 0

    def _on_report(self, peer: Peer, report: HostReport) -> None:
        self._receive(peer.host, peer.incarnation, report)

    def _receive(self, host: str, incarnation: str, report: HostReport) -> None:
        now = asyncio.get_running_loop().time()
        self._members.receive(host, incarnation, report, now)
        if self._report_callback is not None:
            self._report_callback(host, report, now)


class RegionalReportExchange(ReportExchange):
    """Sends reports to this host's group; relays bring them to other groups, many in a message.

    A group is a failure domain, or a region while hosts of earlier versions are registered. That
    keeps messages from growing with hosts x hosts, and bytes between groups with hosts. Each relay
    sends to the relay of its own rank, so the loss of one leaves the other's way. The first relay
    distributes what it gets at once; the second waits for one to two intervals and then sends only
    what the first did not. A small fleet sends all reports directly.
    """

    __slots__ = ("_distributed_by_host", "_held", "_held_before", "_packer", "_queue", "_relays")

    def __init__(
        self,
        links: PeerLinks,
        members: MemberRegistry,
        relays: RegionRelays,
        make_report: Callable[[float], HostReport],
        apply_reports: Callable[[float], None],
        on_report: Callable[[str, HostReport, float], None] | None = None,
        packer: ReportPacker | None = None,
    ) -> None:
        super().__init__(links, members, make_report, apply_reports, on_report)
        self._relays = relays
        # Without known names, all names are sent as they are.
        self._packer = packer or ReportPacker(tuple, int)
        self._queue = RegionReportQueue()
        self._held = RegionReportQueue()
        self._held_before: RegionReports | None = None
        self._distributed_by_host: dict[str, ForwardedReport] = {}
        links.subscribe(RegionReports, self._on_region_reports)
        links.subscribe(PackedReports, self._on_packed_reports)

    def send(self, now: float) -> None:
        """Send a report if it is due, and what the group reported if this host is a relay."""
        super().send(now)
        self._send_held()
        gathered = self._queue.take()
        rank = self._relays.own_rank(now)
        if gathered is None or rank >= RELAYS_PER_REGION or not self._relays.in_use:
            return
        self._links.send_all(self._relays.remote_relays(rank, now), self._packed(gathered))

    def _distribute(self, report: HostReport, now: float) -> None:
        own = self._links.own
        self._queue.add(own.host, own.incarnation, report)
        relays = self._relays
        self._links.send_all(relays.neighbours() if relays.in_use else relays.others(), report)

    def _on_report(self, peer: Peer, report: HostReport) -> None:
        super()._on_report(peer, report)
        if self._relays.is_neighbour(peer.host):
            self._queue.add(peer.host, peer.incarnation, report)

    def _packed(self, reports: RegionReports) -> RegionReports | PackedReports:
        return self._packer.pack(reports) if self._relays.by_domain else reports

    def _on_region_reports(self, peer: Peer, reports: RegionReports) -> None:
        self._take_in(peer, reports, reports)

    def _on_packed_reports(self, peer: Peer, packed: PackedReports) -> None:
        self._take_in(peer, self._packer.unpack(packed), packed)

    def _take_in(
        self, peer: Peer, reports: RegionReports, received: RegionReports | PackedReports
    ) -> None:
        if not self._relays.is_neighbour(peer.host):
            self._distribute_remote(reports, received)
        else:
            self._distributed_by_host.update({of.host: of for of in reports.reports})
        for forwarded in reports.reports:
            self._receive(forwarded.host, forwarded.incarnation, forwarded.report)

    def _distribute_remote(
        self, reports: RegionReports, received: RegionReports | PackedReports
    ) -> None:
        if self._relays.own_rank(asyncio.get_running_loop().time()) == 0:
            self._links.send_all(self._relays.neighbours(), received)
            return
        for forwarded in reports.reports:
            self._held.add(forwarded.host, forwarded.incarnation, forwarded.report)

    def _send_held(self) -> None:
        """Send what was held since the last interval but one, and was not distributed meanwhile."""
        due, self._held_before = self._held_before, self._held.take()
        if due is None:
            return
        missed = tuple(of for of in due.reports if not self._was_distributed(of))
        if missed:
            self._links.send_all(self._relays.neighbours(), self._packed(RegionReports(missed)))

    def _was_distributed(self, forwarded: ForwardedReport) -> bool:
        known = self._distributed_by_host.get(forwarded.host)
        if known is None or known.incarnation != forwarded.incarnation:
            return False
        return known.report.sequence >= forwarded.report.sequence


class FleetPoisonExchange(LinkPoisonExchange):
    """Tells all hosts of ended targets, by relays in a large fleet."""

    __slots__ = ("_relays",)

    def __init__(self, links: PeerLinks, relays: RegionRelays) -> None:
        super().__init__(links)
        self._relays = relays

    def broadcast(self, report: PoisonReport) -> None:
        """Send a report to all other hosts."""
        relays = self._relays
        if not relays.in_use:
            self._links.send_all(relays.others(), report)
            return
        now = asyncio.get_running_loop().time()
        remote = {
            host for rank in range(RELAYS_PER_REGION) for host in relays.remote_relays(rank, now)
        }
        self._links.send_all((*relays.neighbours(), *remote), report)

    def _pass_on(self, peer: Peer, report: PoisonReport) -> None:
        if self._relays.in_use and not self._relays.is_neighbour(peer.host):
            self._links.send_all(self._relays.neighbours(), report)
