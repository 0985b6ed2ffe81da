"""Tests of the hosts of the fleet and of look-ups."""

from __future__ import annotations

import msgspec
import pytest

from flamingoladder.fleet.lookups import FleetLookup
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import HostReport
from flamingoladder.limits.rate_limiter import RateReport
from flamingoladder.members.member import Member
from flamingoladder.timeline.recorder import Recorder

REPORT = HostReport(False, {}, {}, {})
LEAVING = HostReport(True, {}, {}, {})


def member(host: str, region: str = "r1", incarnation: str = "1") -> Member:
    return Member(host, region, f"{region}-a", incarnation, f"{host}:80", f"tcp://{host}", "k")


@pytest.fixture
def registry() -> MemberRegistry:
    registry = MemberRegistry("h0", Recorder("h0", "i"))
    for host, region in [("h1", "r1"), ("h2", "r2"), ("h3", "r2")]:
        registry.put(member(host, region), 0.0)
    return registry


def listed_hosts(
    registry: MemberRegistry, region: str, now: float, *, leaving: bool = False
) -> list[str]:
    lookup = FleetLookup(member("h0"), registry, 5.0)
    lookup.leaving = leaving
    return sorted(lookup.answer(region, now).addresses)


def test_lookup_lists_only_live_hosts(registry: MemberRegistry) -> None:
    assert listed_hosts(registry, "r2", 0.0) == ["h0:80"]
    registry.receive("h2", "1", REPORT, 0.0)
    registry.receive("h3", "1", REPORT, 0.0)
    assert listed_hosts(registry, "r2", 0.1) == ["h2:80", "h3:80"]
    assert listed_hosts(registry, "r2", 9.0) == ["h0:80"]


def test_lookup_lists_other_regions_when_its_own_has_no_host(registry: MemberRegistry) -> None:
    for host in ("h1", "h2"):
        registry.receive(host, "1", REPORT, 0.0)
    assert listed_hosts(registry, "r2", 0.1) == ["h2:80"]
    assert listed_hosts(registry, "r1", 0.1) == ["h0:80", "h1:80"]
    assert listed_hosts(registry, "r3", 0.1) == ["h0:80", "h1:80", "h2:80"]


def test_lookup_omits_leaving_hosts(registry: MemberRegistry) -> None:
    for host in ("h1", "h2", "h3"):
        registry.receive(host, "1", LEAVING if host == "h3" else REPORT, 0.0)
    assert listed_hosts(registry, "r2", 0.1) == ["h2:80"]
    assert listed_hosts(registry, "r1", 0.1, leaving=True) == ["h1:80"]


def test_lookup_lists_the_last_host_even_while_it_leaves(registry: MemberRegistry) -> None:
    assert listed_hosts(registry, "r1", 0.1, leaving=True) == ["h0:80"]


def test_report_of_an_earlier_incarnation_is_ignored(registry: MemberRegistry) -> None:
    registry.put(member("h1", incarnation="2"), 1.0)
    registry.receive("h1", "1", REPORT, 1.1)
    assert not registry.is_alive("h1", 1.2)


def test_host_without_reports_for_long_is_lost(registry: MemberRegistry) -> None:
    registry.receive("h1", "1", REPORT, 40.0)
    assert sorted(lost.host for lost in registry.lost(50.0)) == ["h2", "h3"]
    assert registry.host_count == 4


def test_larger_fleet_reports_less_often_with_longer_report_lifetime() -> None:
    registry = MemberRegistry("h0", Recorder("h0", "i"))
    small = registry.report_interval_s
    for number in range(1, 320):
        registry.put(member(f"h{number}"), 0.0)
    registry.receive("h1", "1", REPORT, 0.0)
    assert registry.host_count / registry.report_interval_s <= 32 / small
    assert registry.is_alive("h1", 2 * registry.report_interval_s)


def test_workspaces_left_out_of_a_report_keep_their_rates(registry: MemberRegistry) -> None:
    first = HostReport(False, {"a": RateReport(5, 1.0), "b": RateReport(7, 2.0)}, {}, {})
    registry.receive("h1", "1", first, 0.0)
    registry.receive("h1", "1", HostReport(False, {"b": RateReport(9, 2.0)}, {}, {}), 0.2)
    rates = registry.live_reports(0.3)["h1"].rates_by_workspace
    assert rates == {"a": RateReport(5, 1.0), "b": RateReport(9, 2.0)}


def large_fleet(count: int, *, per_domain: int) -> MemberRegistry:
    registry = MemberRegistry("h0", Recorder("h0", "i"))
    for number in range(1, count):
        domain = f"r1-{'a' if number < per_domain else 'b'}"
        registry.put(msgspec.structs.replace(member(f"h{number}"), failure_domain=domain), 0.0)
        registry.receive(f"h{number}", "1", REPORT, 0.0)
    return registry


@pytest.mark.parametrize(
    ("count", "domain", "per_domain", "listed"),
    [
        pytest.param(16, "r1-a", 8, range(16), id="small fleet: all hosts of the region"),
        pytest.param(30, "", 8, range(30), id="no failure domain named: all hosts of the region"),
        pytest.param(30, "r1-a", 8, range(8), id="the failure domain alone"),
        pytest.param(30, "r1-a", 3, range(3), id="the failure domain with three hosts"),
        pytest.param(30, "r1-a", 2, range(30), id="too few hosts in the failure domain"),
    ],
)
def test_callers_get_hosts_of_their_failure_domain_while_it_has_enough(
    count: int, domain: str, per_domain: int, listed: range
) -> None:
    lookup = FleetLookup(member("h0"), large_fleet(count, per_domain=per_domain), 5.0)
    answers = [lookup.answer("r1", 0.1, domain, f"10.0.0.{number}") for number in range(300)]
    assert {url for of in answers for url in of.addresses} == {f"h{n}:80" for n in listed}
    assert all(len(of.addresses) >= 3 for of in answers)


def test_callers_behind_one_address_get_all_hosts_of_their_failure_domain() -> None:
    lookup = FleetLookup(member("h0"), large_fleet(30, per_domain=12), 5.0)
    for number in range(20):
        answer = lookup.answer("r1", number / 100, "r1-a", "10.0.0.1")
    assert sorted(answer.addresses) == sorted(f"h{n}:80" for n in range(12))
    for number in range(4):
        answer = lookup.answer("r1", 0.3, "r1-a", f"10.0.0.{number}")
    assert len(answer.addresses) == 8
    assert len(lookup.answer("r1", 0.3, "r1-b", "10.0.0.1").addresses) == 18


def test_rates_without_news_are_the_same_object(registry: MemberRegistry) -> None:
    """The rate limiter compares the rates of 90 hosts in each interval unless they are."""
    rates = {"a": RateReport(5, 1.0)}
    for at, sent in ((0.0, rates), (0.2, {}), (0.4, {})):
        registry.receive("h1", "1", HostReport(False, sent, {}, {}), at)
        assert registry.live_reports(at)["h1"].rates_by_workspace == rates
    before = registry.live_reports(0.4)["h1"].rates_by_workspace
    registry.receive("h1", "1", REPORT, 0.6)
    assert registry.live_reports(0.6)["h1"].rates_by_workspace is before


def test_work_of_objects_holds_until_a_report_names_services_again(
    registry: MemberRegistry,
) -> None:
    """Most reports of large fleets leave it out; homes of popular objects came and went."""
    seen = []
    reported: list[dict[str, dict[str, int]]] = [{"s": {"o": 40}}, {}, {"s": {}}]
    for number, work in enumerate(reported):
        registry.receive("h1", "1", HostReport(work_by_object=work, sequence=number), 0.0)
        seen.append(registry.live_reports(0.1)["h1"].work_by_object)
    assert seen == [{"s": {"o": 40}}, {"s": {"o": 40}}, {"s": {}}]
