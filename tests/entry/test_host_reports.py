"""Tests of what a host reports of the objects that it knows."""

from __future__ import annotations

from flamingoladder.entry.host_reports import MAX_NEW_OBJECTS_PER_REPORT
from flamingoladder.steering.home_assignment import HomeAssignment
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient

KEPT_OBJECTS = 60
NEW_PER_REPORT = 25
REPORTS = 12
REPORT_INTERVAL_S = 0.25


async def test_each_new_object_is_reported_though_old_ones_are_forgotten() -> None:
    """Places in the list of known objects told what was reported; they move as objects go."""
    harness = EntryHarness(FakeTargetClient())
    homes = harness.balancer._homes_by_service["s"] = HomeAssignment(KEPT_OBJECTS)
    reported: set[str] = set()
    for number in range(REPORTS):
        new = {f"o{number}-{one}" for one in range(NEW_PER_REPORT)}
        homes.add_objects(sorted(new), harness.balancer.region)
        homes.add_objects([f"elsewhere{number}"], "elsewhere")
        report = harness.reporter.build_report(number * REPORT_INTERVAL_S)
        reported.update(report.objects_by_service["s"])
        assert new <= reported
    assert not any(key.startswith("elsewhere") for key in reported)


async def test_objects_beyond_those_of_one_report_follow_in_the_next() -> None:
    harness = EntryHarness(FakeTargetClient())
    keys = [f"o{number}" for number in range(2 * MAX_NEW_OBJECTS_PER_REPORT + 5)]
    harness.balancer.homes_of("s").add_objects(keys, harness.balancer.region)
    reported: set[str] = set()
    for number in range(3):
        report = harness.reporter.build_report(number * REPORT_INTERVAL_S)
        reported.update(report.objects_by_service["s"])
    assert reported == set(keys)
