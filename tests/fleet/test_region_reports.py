"""Tests of reports that reach other regions through relays."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from flamingoladder.fleet.exchange import FleetPoisonExchange
from flamingoladder.fleet.exchange import RegionalReportExchange
from flamingoladder.fleet.members import REPORT_INTERVAL_S
from flamingoladder.fleet.members import REPORT_LIFETIME_INTERVALS
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import ForwardedReport
from flamingoladder.fleet.messages import HostReport
from flamingoladder.fleet.messages import PackedReports
from flamingoladder.fleet.messages import RegionReports
from flamingoladder.fleet.region_reports import joined
from flamingoladder.fleet.relays import MAX_DIRECT_HOSTS
from flamingoladder.fleet.relays import RELAYS_PER_REGION
from flamingoladder.fleet.relays import DomainRelays
from flamingoladder.fleet.relays import RegionRelays
from flamingoladder.fleet.report_packing import ReportPacker
from flamingoladder.limits.rate_limiter import RateReport
from flamingoladder.members.member import Member
from flamingoladder.poison.messages import EndReport
from flamingoladder.poison.messages import PoisonReport
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    import msgspec

SETTLE_S = 8.0
REGIONS = ("r1", "r2", "r3")
PACKER = ReportPacker(lambda: ["w", "t"], lambda: 1)


class Host:
    """A host that reports how often it reported."""

    def __init__(self, network: Network, member: Member) -> None:
        self.member = member
        self.members = MemberRegistry(member.host, Recorder(member.host, "1", kept_events=0))
        self.relays = DomainRelays(member, self.members)
        self.reports = 0
        self.crashes: Counter[str] = Counter()
        links = network.join(member.host, member.incarnation)
        self.exchange = RegionalReportExchange(
            links, self.members, self.relays, self._report, lambda _now: None, packer=PACKER
        )
        self.poison_exchange = FleetPoisonExchange(links, self.relays)
        self.poison_exchange.serve(
            lambda report, _now: self.crashes.update(end.target for end in report.ends),
            PoisonReport,
        )
        self._task = asyncio.create_task(self.exchange.run())

    def kill(self) -> None:
        """End the host's task."""
        self._task.cancel()

    def heard(self) -> set[str]:
        """Return the hosts that this one counts as alive."""
        now = asyncio.get_running_loop().time()
        return set(self.members.live_reports(now))

    def _report(self, _now: float) -> HostReport:
        self.reports += 1
        return HostReport(rates_by_workspace={"w": RateReport(self.reports, 1.0)})


class Fleet:
    """Hosts of three regions, with two failure domains each if they relay by these."""

    def __init__(self, count: int, *, by_domain: bool = False) -> None:
        self.network = Network(Random(3), delay_s=0.01)
        self.sent: Counter[str] = Counter()
        self.network.tap = self._count
        members = [
            Member(
                f"h{number:02}",
                REGIONS[number % 3],
                f"d{number % 2}" if by_domain else "d",
                "1",
                f"h{number}:80",
                "tcp://h",
                "k",
                relays_by_domain=by_domain,
            )
            for number in range(count)
        ]
        self.hosts = [Host(self.network, member) for member in members]
        for host in self.hosts:
            for member in members:
                host.members.put(member, 0.0)
            host.relays.update()

    def ranked(self, region: str) -> list[Host]:
        """Return the hosts of a region by their rank."""
        now = asyncio.get_running_loop().time()
        hosts = [host for host in self.hosts if host.member.region == region]
        return sorted(hosts, key=lambda host: host.relays.own_rank(now))

    def _count(self, sender: str, receiver: str, content: msgspec.Struct | None) -> None:
        across = int(sender[1:]) % 3 != int(receiver[1:]) % 3
        self.sent[f"{type(content).__name__} {'across' if across else 'within'}"] += 1


@pytest.mark.parametrize("by_domain", [False, True])
@pytest.mark.parametrize("count", [7, MAX_DIRECT_HOSTS, 17, 30])
def test_all_hosts_hear_all_others(count: int, *, by_domain: bool) -> None:
    async def scenario() -> list[int]:
        fleet = Fleet(count, by_domain=by_domain)
        await asyncio.sleep(SETTLE_S)
        return [len(host.heard()) for host in fleet.hosts]

    assert run_on_injected_time(scenario()) == [count - 1] * count


async def complete_at_each_quarter_second(fleet: Fleet, gone: list[Host]) -> list[bool]:
    """Return whether all hosts that are left hear each other, for ten seconds."""
    rest = [host for host in fleet.hosts if host not in gone]
    names = {host.member.host for host in rest}
    found = []
    for _ in range(40):
        await asyncio.sleep(0.25)
        found.append(all(host.heard() >= names - {host.member.host} for host in rest))
    return found


@pytest.mark.parametrize("by_domain", [False, True])
@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("how", ["killed", "cut"])
def test_a_lost_relay_silences_no_other_host(rank: int, how: str, *, by_domain: bool) -> None:
    async def scenario() -> list[bool]:
        fleet = Fleet(30, by_domain=by_domain)
        await asyncio.sleep(SETTLE_S)
        ranked = [of for of in fleet.ranked("r1") if not by_domain or _domain(of) == "d0"]
        gone = ranked[rank]
        if how == "killed":
            gone.kill()
            fleet.network.leave(gone.member.host)
        for host in fleet.hosts:
            if host not in ranked:
                pair = (gone.member.host, host.member.host)
                fleet.network.cuts.update([pair, pair[::-1]])
        return await complete_at_each_quarter_second(fleet, [gone])

    assert all(run_on_injected_time(scenario()))


def _domain(host: Host) -> str:
    return host.member.failure_domain


@pytest.mark.parametrize("by_domain", [False, True])
def test_a_silent_host_is_noticed_by_all_within_the_same_time(*, by_domain: bool) -> None:
    async def scenario() -> list[int]:
        fleet = Fleet(30, by_domain=by_domain)
        await asyncio.sleep(SETTLE_S)
        gone = fleet.hosts[5]
        gone.kill()
        await asyncio.sleep((REPORT_LIFETIME_INTERVALS + 3) * REPORT_INTERVAL_S)
        return [gone.member.host in host.heard() for host in fleet.hosts if host is not gone]

    assert not any(run_on_injected_time(scenario()))


def test_regions_hear_each_other_again_after_both_relays_were_killed() -> None:
    async def scenario() -> list[bool]:
        fleet = Fleet(30)
        await asyncio.sleep(SETTLE_S)
        gone = fleet.ranked("r1")[:2]
        for host in gone:
            host.kill()
            fleet.network.leave(host.member.host)
        return await complete_at_each_quarter_second(fleet, gone)

    complete = run_on_injected_time(scenario())
    assert all(complete[20:])


def test_messages_across_regions_do_not_grow_with_hosts() -> None:
    async def sent_by(count: int) -> Counter[str]:
        fleet = Fleet(count)
        await asyncio.sleep(SETTLE_S)
        fleet.sent.clear()
        await asyncio.sleep(SETTLE_S)
        return fleet.sent

    small, large = (run_on_injected_time(sent_by(count)) for count in (21, 30))
    assert large["HostReport across"] == 0
    assert large["RegionReports across"] <= small["RegionReports across"] + 6
    assert large["RegionReports across"] <= 3 * 2 * 2 * (SETTLE_S / 0.25 + 1)
    # The first relay distributes each message to the nine others of its region, the second nothing.
    assert large["RegionReports within"] <= 9 * large["RegionReports across"] / 2 + 9


def test_an_older_report_does_not_replace_a_newer_one() -> None:
    registry = MemberRegistry("h0", Recorder("h0", "1"))
    registry.put(Member("h1", "r1", "d", "1", "h1:80", "tcp://h", "k"), 0.0)
    for sequence, admitted in ((1, 10), (3, 15), (2, 12)):
        report = HostReport(rates_by_workspace={"w": RateReport(admitted, 1.0)}, sequence=sequence)
        registry.receive("h1", "1", report, 0.1)
    assert registry.live_reports(0.2)["h1"].rates_by_workspace["w"].admitted == 15


def test_joined_reports_keep_what_only_the_earlier_one_has() -> None:
    first = HostReport(
        rates_by_workspace={"a": RateReport(1, 1.0), "b": RateReport(1, 1.0)},
        in_flight_by_target={"t": 1},
        objects_by_service={"s": ("x", "y")},
        sequence=1,
    )
    second = HostReport(
        rates_by_workspace={"b": RateReport(2, 1.0)},
        objects_by_service={"s": ("y", "z")},
        sequence=2,
    )
    assert joined(first, second) == HostReport(
        rates_by_workspace={"a": RateReport(1, 1.0), "b": RateReport(2, 1.0)},
        objects_by_service={"s": ("x", "y", "z")},
        sequence=2,
    )


@pytest.mark.parametrize("by_domain", [False, True])
@pytest.mark.parametrize("count", [7, 30])
def test_a_crash_is_told_to_all_hosts(count: int, *, by_domain: bool) -> None:
    async def scenario() -> list[bool]:
        fleet = Fleet(count, by_domain=by_domain)
        await asyncio.sleep(SETTLE_S)
        end = EndReport("t", 1, "d", 0, 0, (1,))
        fleet.hosts[0].poison_exchange.broadcast(PoisonReport(ends=(end,)))
        await asyncio.sleep(0.1)
        return [bool(host.crashes["t"]) for host in fleet.hosts[1:]]

    assert all(run_on_injected_time(scenario()))


def test_region_reports_are_forwarded_once() -> None:
    async def scenario() -> int:
        fleet = Fleet(30)
        await asyncio.sleep(SETTLE_S)
        for host in fleet.hosts:
            host.kill()
        await asyncio.sleep(SETTLE_S)
        fleet.sent.clear()
        sender, receiver = fleet.ranked("r1")[0], fleet.ranked("r2")[0]
        links = fleet.network.links_by_host[sender.member.host]
        links.send(receiver.member.host, RegionReports(()))
        await asyncio.sleep(SETTLE_S)
        return fleet.sent["RegionReports within"]

    assert run_on_injected_time(scenario()) == 9


def test_the_hosts_with_the_widest_links_relay() -> None:
    wide, narrow = (
        [
            Member(f"{name}{number}", "r1", "d", "1", "h:80", "tcp://h", "k", link_mbps=mbps)
            for number in range(4)
        ]
        for name, mbps in (("w", 200.0), ("n", 10.0))
    )
    ranks = {}
    for own in (*wide, *narrow):
        registry = MemberRegistry(own.host, Recorder(own.host, "1"))
        for member in (*wide, *narrow):
            registry.put(member, 0.0)
            registry.receive(member.host, "1", HostReport(), 0.0)
        ranks[own.host] = RegionRelays(own, registry).own_rank(0.1)
    assert sorted(ranks.values()) == list(range(8))
    assert {host for host, rank in ranks.items() if rank < 4} == {of.host for of in wide}


def test_relays_by_failure_domain_send_each_report_across_once_for_each_rank() -> None:
    """Each host sent its report to all hosts of the region, also those across."""

    async def sent_across(fleet: Fleet) -> int:
        domains = {of.member.host: (of.member.region, _domain(of)) for of in fleet.hosts}
        reports = 0

        def count(sender: str, receiver: str, content: msgspec.Struct | None) -> None:
            nonlocal reports
            if domains[sender] != domains[receiver]:
                reports += len(content.reports) if isinstance(content, PackedReports) else 1

        await asyncio.sleep(SETTLE_S)
        fleet.network.tap = count
        await asyncio.sleep(SETTLE_S)
        return reports

    async def scenario() -> int:
        return await sent_across(Fleet(30, by_domain=True))

    reports_per_host = SETTLE_S / REPORT_INTERVAL_S + 1
    assert run_on_injected_time(scenario()) <= 30 * reports_per_host * 5 * RELAYS_PER_REGION


def test_hosts_relay_by_region_while_one_of_an_earlier_version_is_registered() -> None:
    members = [
        Member(f"h{n}", "r1", f"d{n % 2}", "1", "", "", "", relays_by_domain=n != 3)
        for n in range(6)
    ]
    registry = MemberRegistry("h0", Recorder("h0", "1"))
    relays = DomainRelays(members[0], registry)
    for member in members:
        registry.put(member, 0.0)
    relays.update()
    assert relays.neighbours() == ["h1", "h2", "h3", "h4", "h5"]
    registry.remove("h3")
    relays.update()
    assert relays.neighbours() == ["h2", "h4"]
    assert not relays.is_neighbour("h1")


def test_packed_reports_tell_the_same_of_all_names_that_both_hosts_know() -> None:
    """A name without a hash, or with one that two names share, goes as it is."""
    names = {"w1", "w2", "t1", "t2"}
    sender = ReportPacker(lambda: names - {"t2"}, lambda: 1)
    receiver = ReportPacker(lambda: names - {"w2"}, lambda: 1)
    report = HostReport(
        rates_by_workspace={"w1": RateReport(7, 0.3), "w2": RateReport(8, 1.7)},
        in_flight_by_target={"t1": 3, "t2": 300},
        objects_by_service={"s": ("x",)},
        sequence=5,
    )
    reports = RegionReports((ForwardedReport("h1", "i1", report),))
    known = structs.replace(report, rates_by_workspace={"w1": RateReport(7, 0.3)})
    [unpacked] = receiver.unpack(sender.pack(reports)).reports
    assert unpacked == ForwardedReport("h1", "i1", known)
    assert sender.unpack(sender.pack(reports)) == reports
