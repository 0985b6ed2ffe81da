"""Tests of the planned split between regions, as the reports of hosts lead to it."""

from __future__ import annotations

import pytest
from msgspec import structs

from flamingoladder.entry.region_planner import PLAN_LIFETIME_S
from flamingoladder.entry.region_planner import RegionPlanner
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import HostReport
from flamingoladder.hashing import stable_hash
from flamingoladder.members.member import Member
from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.timeline.recorder import Recorder

RECORDER = Recorder("h0", "1")
SECONDS = 40
TARGET = TargetRecord(
    target_id="",
    service="s",
    address="",
    failure_domain="",
    slots=10,
    draining=False,
    slow_start_s=0.0,
)


def planned(hosts: int, reports: dict[str, HostReport], *, after_s: float = 0.0) -> int:
    """Return how many of 1,000 requests of region r0 prefer another one."""
    targets = TargetRegistry({"d0": "r0", "d1": "r1"}, RECORDER)
    for number, domain in enumerate(("d0", "d1", "d1", "d1")):
        targets.put(structs.replace(TARGET, target_id=f"t{number}", failure_domain=domain), 0.0)
    members = MemberRegistry("h0", RECORDER)
    for number in range(1, hosts):
        region = f"r{number % 2}"
        members.put(Member(f"h{number}", region, "", "1", "", "", ""), 0.0)
    planner = RegionPlanner(targets, members, "r0")
    for second in range(SECONDS):
        planner.update(reports, float(second))
    now = SECONDS - 1 + after_s
    hashes = (stable_hash(str(number)) for number in range(1_000))
    return sum(planner.preferred_region("s", of, now) == "r1" for of in hashes)


def reports(hosts: int, *, silent_region: str = "", unknown: str = "") -> dict[str, HostReport]:
    """Return reports by which the other hosts of r0 ask for 16 slots, and those of r1 for none."""
    return {
        f"h{n}": HostReport(
            offered_by_service=None if f"h{n}" == unknown else ({} if n % 2 else {"s": 160 // 9})
        )
        for n in range(1, hosts)
        if f"r{n % 2}" != silent_region
    }


@pytest.mark.parametrize(
    ("found", "hosts", "expected"),
    [
        pytest.param(reports(20), 20, 500, id="half of 16 slots stay"),
        pytest.param(reports(15), 15, 0, id="small fleet"),
        pytest.param(reports(20, silent_region="r1"), 20, 0, id="other region unheard"),
        pytest.param(reports(20, unknown="h3"), 20, 0, id="one host does not tell"),
    ],
)
def test_requests_beyond_the_regions_slots_prefer_another(
    found: dict[str, HostReport], hosts: int, expected: int
) -> None:
    assert planned(hosts, found) == pytest.approx(expected, abs=60)


def test_a_plan_without_updates_lapses() -> None:
    assert planned(20, reports(20), after_s=PLAN_LIFETIME_S - 0.1) > 0
    assert planned(20, reports(20), after_s=PLAN_LIFETIME_S + 0.1) == 0
