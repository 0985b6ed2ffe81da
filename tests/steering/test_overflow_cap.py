"""Tests of the limit on the growth of overflow to other regions."""

from __future__ import annotations

import pytest

from flamingoladder.steering.overflow_cap import MAX_STEP
from flamingoladder.steering.overflow_cap import WINDOW_S
from flamingoladder.steering.overflow_cap import OverflowCap

REQUESTS = 100
STRIDE = 37


def _window(cap: OverflowCap, start: float, wanted: int) -> float:
    """Send a window of requests, ``wanted`` of them cross-region; return the allowed fraction."""
    away = 0
    for number in range(REQUESTS):
        now = start + WINDOW_S * number / REQUESTS
        leaves = number * STRIDE % REQUESTS < wanted and cap.may_overflow(now)
        cap.record_send(now, cross_region=leaves)
        away += leaves
    return away / REQUESTS


@pytest.mark.parametrize("wanted", [0, 5, 40, 100])
def test_the_cross_region_fraction_grows_by_a_step_at_most(wanted: int) -> None:
    cap = OverflowCap()
    before = 0.0
    for window in range(12):
        part = _window(cap, WINDOW_S * window, wanted)
        assert part <= before + MAX_STEP + 1e-9
        before = part
    assert before == pytest.approx(min(1.0, wanted / REQUESTS), abs=0.02)


def test_a_few_requests_do_not_set_the_limit() -> None:
    cap = OverflowCap()
    assert _window(cap, 0.0, 0) == 0.0
    cap.record_send(WINDOW_S, cross_region=True)
    assert not cap.may_overflow(WINDOW_S)
    assert _window(cap, 2 * WINDOW_S, REQUESTS) <= MAX_STEP
