"""Tests of the hosts of the fleet and of look-ups."""

from __future__ import annotations

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
def book() -> MemberRegistry:
    found = MemberRegistry("h0", Recorder("h0", "i"))
    for host, region in [("h1", "r1"), ("h2", "r2"), ("h3", "r2")]:
        found.put(member(host, region), 0.0)
    return found


def named(book: MemberRegistry, region: str, now: float, *, leaving: bool = False) -> list[str]:
    lookup = FleetLookup(member("h0"), book, 5.0)
    lookup.leaving = leaving
    return sorted(lookup.answer(region, now).addresses)


def test_a_host_is_named_only_while_it_is_heard(book: MemberRegistry) -> None:
    assert named(book, "r2", 0.0) == ["h0:80"]
    book.receive("h2", "1", REPORT, 0.0)
    book.receive("h3", "1", REPORT, 0.0)
    assert named(book, "r2", 0.1) == ["h2:80", "h3:80"]
    assert named(book, "r2", 9.0) == ["h0:80"]


def test_a_caller_is_named_other_regions_when_its_own_has_no_host(book: MemberRegistry) -> None:
    for host in ("h1", "h2"):
        book.receive(host, "1", REPORT, 0.0)
    assert named(book, "r2", 0.1) == ["h2:80"]
    assert named(book, "r1", 0.1) == ["h0:80", "h1:80"]
    assert named(book, "r3", 0.1) == ["h0:80", "h1:80", "h2:80"]


def test_a_leaving_host_is_not_named(book: MemberRegistry) -> None:
    for host in ("h1", "h2", "h3"):
        book.receive(host, "1", LEAVING if host == "h3" else REPORT, 0.0)
    assert named(book, "r2", 0.1) == ["h2:80"]
    assert named(book, "r1", 0.1, leaving=True) == ["h1:80"]


def test_the_last_host_is_named_even_while_it_leaves(book: MemberRegistry) -> None:
    assert named(book, "r1", 0.1, leaving=True) == ["h0:80"]


def test_a_report_of_an_earlier_start_is_not_heard(book: MemberRegistry) -> None:
    book.put(member("h1", incarnation="2"), 1.0)
    book.receive("h1", "1", REPORT, 1.1)
    assert not book.is_alive("h1", 1.2)


def test_a_host_that_was_silent_for_long_is_lost(book: MemberRegistry) -> None:
    book.receive("h1", "1", REPORT, 40.0)
    assert sorted(lost.host for lost in book.lost(50.0)) == ["h2", "h3"]
    assert book.host_count == 4


def test_a_larger_fleet_reports_less_often_and_is_heard_for_longer() -> None:
    found = MemberRegistry("h0", Recorder("h0", "i"))
    small = found.report_interval_s
    for number in range(1, 320):
        found.put(member(f"h{number}"), 0.0)
    found.receive("h1", "1", REPORT, 0.0)
    assert found.host_count / found.report_interval_s <= 32 / small
    assert found.is_alive("h1", 2 * found.report_interval_s)


def test_a_report_leaves_out_workspaces_about_which_nothing_changed(book: MemberRegistry) -> None:
    first = HostReport(False, {"a": RateReport(5, 1.0), "b": RateReport(7, 2.0)}, {}, {})
    book.receive("h1", "1", first, 0.0)
    book.receive("h1", "1", HostReport(False, {"b": RateReport(9, 2.0)}, {}, {}), 0.2)
    found = book.live_reports(0.3)["h1"].rates_by_workspace
    assert found == {"a": RateReport(5, 1.0), "b": RateReport(9, 2.0)}
