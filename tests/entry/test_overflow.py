"""Tests of the cap on requests that overflow to other regions."""

from __future__ import annotations

import asyncio
from itertools import pairwise

from flamingoladder.entry.request import RoutedRequest
from flamingoladder.entry.target_choice import Choice
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

WINDOW_S = 2.0
REQUESTS = 60
MAX_INCREASE = 0.15
IN_FLIGHT_FROM_OTHER_HOSTS = 12


def _overflow_fraction(harness: EntryHarness, now: float, objects: int = 1) -> float:
    """Return the fraction of a window's requests that is sent to other regions."""
    cross_region = 0
    for number in range(REQUESTS):
        at = now + WINDOW_S * number / REQUESTS
        object_key = str(17 + number % objects)
        one = incoming(request_id=str(number), affinity_key=object_key)
        request = harness.handler._admit(one, at, at)
        assert isinstance(request, RoutedRequest)
        choice = harness.balancer.choose(request, (), at)
        assert isinstance(choice, Choice)
        harness.balancer.count_send(choice.target, at)
        harness.balancer.count_end(choice.target)
        cross_region += choice.target.region != "r1"
    return cross_region / REQUESTS


async def test_overflow_grows_at_most_by_cap_from_window_to_window() -> None:
    harness = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time()
    before = _overflow_fraction(harness, now)
    harness.targets.by_id["t0"].remote_in_flight = IN_FLIGHT_FROM_OTHER_HOSTS
    after = _overflow_fraction(harness, now + WINDOW_S)
    assert abs(after - before) <= MAX_INCREASE


async def test_homes_that_move_to_other_regions_are_used_gradually() -> None:
    """Hunt, ladder, quiet-1 --seed 611814978865: 42 in 100 changed their region at 2 s (SHIFT)."""
    harness = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time()
    fractions = [_overflow_fraction(harness, now)]
    for number in range(40):
        harness.balancer.homes_of("s").add_objects((f"get\0{17 + number}",), "r1")
    for state in harness.targets.by_id.values():
        if state.region != "r1":
            for number in range(40):
                state.record_object(f"get\0{17 + number}")
    for window in range(1, 8):
        fractions.append(_overflow_fraction(harness, now + WINDOW_S * window, objects=40))
    steps = [after - before for before, after in pairwise(fractions)]
    assert max(map(abs, steps)) <= MAX_INCREASE
    assert fractions[-1] > 2 * MAX_INCREASE
