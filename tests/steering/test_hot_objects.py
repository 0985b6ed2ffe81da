"""Tests of how many homes popular objects get."""

from __future__ import annotations

import pytest

from flamingoladder.steering.hot_objects import REMOVAL_DELAY_S
from flamingoladder.steering.hot_objects import HotObjects
from flamingoladder.steering.object_work import MAX_OBJECTS
from flamingoladder.steering.object_work import ObjectWork

SLOTS = 3
TARGETS = 20


@pytest.mark.parametrize(
    ("busy_slots", "homes"), [(0.5, 0), (0.8, 0), (1.0, 2), (1.7, 2), (10.0, 7), (1_000.0, TARGETS)]
)
def test_an_object_gets_homes_by_the_slots_that_it_keeps_busy(
    busy_slots: float, homes: int
) -> None:
    hot = HotObjects()
    hot.update({"o": busy_slots, "other": 12.0}, SLOTS, TARGETS, 0.0)
    assert (hot.by_key["o"].homes if "o" in hot.by_key else 0) == homes


def test_homes_are_added_at_once_and_removed_slowly() -> None:
    """Homes that came and went with each wave of demand would be cold each time."""
    hot, counts = HotObjects(), []
    for second in range(60):
        hot.update({"o": 10.0 if second % 4 < 2 or second < 20 else 1.0}, SLOTS, TARGETS, second)
        counts.append(hot.by_key["o"].homes)
    assert set(counts) == {max(counts)}
    for second in range(60, 60 + int(2 * REMOVAL_DELAY_S)):
        hot.update({"o": 0.1}, SLOTS, TARGETS, second)
    assert max(counts) - 2 <= hot.by_key["o"].homes < max(counts)


def test_objects_requested_once_hide_no_popular_one_and_take_no_memory() -> None:
    work, now = ObjectWork(), 0.0
    for number in range(20_000):
        now += 0.001
        work.add(f"once{number}", 0.4, now)
        if number % 10 == 0:
            work.add("popular", 0.1, now)
    busiest = work.busiest(8, 0.01, now)
    assert list(busiest) == ["popular"]
    assert busiest["popular"] == pytest.approx(10.0, rel=0.3)
    assert len(work._present) <= MAX_OBJECTS
