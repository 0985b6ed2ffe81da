"""Tests of the pace that targets report: it must neither stick nor follow single moments."""

from __future__ import annotations

import pytest

from flamingoladder.targets.load_faults import LOG_INTERVAL_S
from flamingoladder.targets.load_faults import LoadFaults
from flamingoladder.targets.notices import LoadReport
from flamingoladder.targets.pace import PACE_LIFETIME_S
from flamingoladder.targets.pace import PaceAverage
from tests.targets.test_slow_start import target


@pytest.mark.parametrize(
    ("paces", "low", "high"),
    [
        ([], 1.0, 1.0),
        ([150] * 3, 1.5, 1.5),
        ([100] * 20 + [400], 1.0, 1.2),
        ([50, 150] * 40, 0.9, 1.1),
        ([100] * 20 + [200] * 100, 1.95, 2.0),
        ([1e9] * 3, 10.0, 10.0),
    ],
)
def test_a_pace_is_averaged(paces: list[float], low: float, high: float) -> None:
    average, now = PaceAverage(), 5.0
    for percent in paces:
        now += 0.02
        average.add(percent, now)
    assert low <= average.factor(now) <= high


def test_an_old_pace_counts_as_usual_and_leaves_no_trace() -> None:
    average = PaceAverage()
    average.add(300, 1.0)
    assert average.factor(1.0 + PACE_LIFETIME_S + 0.1) == 1.0
    average.add(90, 10.0)
    assert average.factor(10.0) == pytest.approx(0.9)


@pytest.mark.parametrize(
    ("report", "load", "pace"),
    [
        (LoadReport(3, 2, 8), 5, 1.0),
        (LoadReport(3, None, 8, 200.0), 3, 2.0),
        (LoadReport(None, None, None, 50.0), 0, 0.5),
    ],
)
def test_figures_that_are_missing_change_nothing(
    report: LoadReport, load: int, pace: float
) -> None:
    state = target()
    state.update_load(report, 1.0)
    assert (state.load(1.0), state.pace_factor(1.0)) == (load, pace)


def test_log_lines_of_unreadable_figures_are_bounded_and_count_all() -> None:
    """Each answer of a target may hold one."""
    faults = LoadFaults()
    logged = [faults.count(2, number * LOG_INTERVAL_S / 100) for number in range(250)]
    assert [figures for figures in logged if figures] == [2, 200, 200]
