"""Tests of how fast a region's requests may move to other regions."""

from __future__ import annotations

import asyncio

from flamingoladder.entry.load_balancer import Choice
from flamingoladder.entry.request import RoutedRequest
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

WINDOW_S = 2.0
REQUESTS = 60
LARGEST_MOVE = 0.15
IN_LINE = 12


def _share_away(path: EntryHarness, now: float) -> float:
    """Return the part of a window's requests that is sent to other regions."""
    away = 0
    for number in range(REQUESTS):
        at = now + WINDOW_S * number / REQUESTS
        request = path.handler._admit(incoming(request_id=str(number)), at, at)
        assert isinstance(request, RoutedRequest)
        choice = path.balancer.choose(request, (), at)
        assert isinstance(choice, Choice)
        path.balancer.count_send(choice.target, at)
        choice.target.in_flight -= 1
        away += choice.target.region != "r1"
    return away / REQUESTS


async def test_a_filling_region_moves_no_more_than_the_cap_from_one_window_to_the_next() -> None:
    path = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time()
    before = _share_away(path, now)
    path.targets.by_id["t0"].remote_in_flight = IN_LINE
    after = _share_away(path, now + WINDOW_S)
    assert abs(after - before) <= LARGEST_MOVE
