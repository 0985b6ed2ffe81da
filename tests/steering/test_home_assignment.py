"""Tests of the assignment of objects to home targets."""

from __future__ import annotations

from collections import Counter

import pytest

from flamingoladder.steering.home_assignment import MAX_LOAD_FACTOR
from flamingoladder.steering.home_assignment import HomeAssignment

REGIONS = {f"t{number}": ("north", "south", "south", "east")[number % 4] for number in range(16)}
OBJECTS = {f"route\0{number}": ("north", "south", "east")[number % 3] for number in range(72)}


def assignment_of(regions: dict[str, str], objects: dict[str, str]) -> HomeAssignment:
    assignment = HomeAssignment()
    assignment.set_targets(regions)
    for key, region in objects.items():
        assignment.add_objects((key,), region)
    return assignment


def homes(assignment: HomeAssignment) -> dict[str, str]:
    return {key: assignment.ranked_targets(key)[0] for key in OBJECTS}


def reverse(mapping: dict[str, str]) -> dict[str, str]:
    return dict(reversed(mapping.items()))


def test_homes_are_independent_of_the_order_of_targets_and_objects() -> None:
    assert homes(assignment_of(REGIONS, OBJECTS)) == homes(
        assignment_of(reverse(REGIONS), reverse(OBJECTS))
    )


@pytest.mark.parametrize("count", [3, 12, 16])
def test_no_target_is_home_to_more_objects_than_the_load_factor_allows(count: int) -> None:
    regions = dict(list(REGIONS.items())[:count])
    counts = Counter(homes(assignment_of(regions, OBJECTS)).values())
    assert max(counts.values()) <= len(OBJECTS) / count * MAX_LOAD_FACTOR + 1


def test_homes_are_in_the_region_of_their_objects_up_to_the_load_limit() -> None:
    home_by_object = homes(assignment_of(REGIONS, OBJECTS))
    southern = [key for key, region in OBJECTS.items() if region == "south"]
    assert all(REGIONS[home_by_object[key]] == "south" for key in southern)
    northern = [key for key, region in OBJECTS.items() if region == "north"]
    assert sum(REGIONS[home_by_object[key]] == "north" for key in northern) >= 4 * 72 // 16


def test_a_lost_target_moves_few_other_objects() -> None:
    before = homes(assignment_of(REGIONS, OBJECTS))
    remaining = {target: region for target, region in REGIONS.items() if target != "t0"}
    after = homes(assignment_of(remaining, OBJECTS))
    lost = [key for key, home in before.items() if home == "t0"]
    moved = [key for key in OBJECTS if before[key] != after[key]]
    assert set(lost) <= set(moved)
    assert len(moved) <= 4 * len(lost)


def test_the_ranking_has_every_target_once() -> None:
    assignment = assignment_of(REGIONS, OBJECTS)
    assert all(sorted(assignment.ranked_targets(key)) == sorted(REGIONS) for key in OBJECTS)


def test_without_targets_there_is_no_home() -> None:
    assert assignment_of({}, OBJECTS).ranked_targets("route\0001") == ()
