"""Tests of the limit on the growth of overflow to other regions."""

from __future__ import annotations

import pytest

from flamingoladder.steering.overflow_cap import MAX_FRACTION_STEP
from flamingoladder.steering.overflow_cap import WINDOW_S
from flamingoladder.steering.overflow_cap import OverflowCap

REQUESTS = 100
# Coprime to REQUESTS: spreads the cross-region requests over the window.
STRIDE = 37


def _window(cap: OverflowCap, start: float, requested: int) -> float:
    """Return the cross-region fraction of a window with ``requested`` cross-region attempts."""
    cross_region_count = 0
    for number in range(REQUESTS):
        now = start + WINDOW_S * number / REQUESTS
        is_cross_region = number * STRIDE % REQUESTS < requested and cap.may_overflow(now)
        cap.record_send(now, cross_region=is_cross_region)
        cross_region_count += is_cross_region
    return cross_region_count / REQUESTS


@pytest.mark.parametrize("requested", [0, 5, 40, 100])
def test_the_cross_region_fraction_grows_by_a_step_at_most(requested: int) -> None:
    cap = OverflowCap()
    last_fraction = 0.0
    for window in range(12):
        fraction = _window(cap, WINDOW_S * window, requested)
        assert fraction <= last_fraction + MAX_FRACTION_STEP + 1e-9
        last_fraction = fraction
    assert last_fraction == pytest.approx(min(1.0, requested / REQUESTS), abs=0.02)


def test_a_few_requests_do_not_set_the_limit() -> None:
    cap = OverflowCap()
    assert _window(cap, 0.0, 0) == 0.0
    cap.record_send(WINDOW_S, cross_region=True)
    assert not cap.may_overflow(WINDOW_S)
    assert _window(cap, 2 * WINDOW_S, REQUESTS) <= MAX_FRACTION_STEP
