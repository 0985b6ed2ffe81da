"""Tests of the typical duration of runs."""

from __future__ import annotations

import pytest

from flamingoladder.targets.run_times import MIN_RUNS
from flamingoladder.targets.run_times import RunTimes


@pytest.mark.parametrize(
    ("runs", "typical_s"),
    [
        ([], None),
        ([0.3] * (MIN_RUNS - 1), None),
        ([0.3] * MIN_RUNS, 0.3),
        ([0.3] * 5 + [0.9] * 5, 0.3),
        ([0.9] * 40 + [0.3] * 32, 0.3),
    ],
)
def test_typical_duration_is_the_lower_quartile_of_the_latest_runs(
    runs: list[float], typical_s: float | None
) -> None:
    times = RunTimes()
    for seconds in runs:
        times.record("s", "get", seconds)
    assert times.typical_s("s", "get") == typical_s
    assert times.typical_s("s", "book") is None
