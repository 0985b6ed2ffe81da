"""Repeats of ended targets: hosts x hosts messages a second would slow a large fleet down."""

from __future__ import annotations

from itertools import pairwise

import pytest

from flamingoladder.poison.repeat_schedule import HOSTS_AT_FULL_RATE
from flamingoladder.poison.repeat_schedule import REPORT_INTERVAL_S
from flamingoladder.poison.repeat_schedule import RepeatSchedule

SECONDS = 120
LATENESS_S = 0.003


def _due_times(hosts: int) -> list[float]:
    """Return when the hosts repeat, each of which is asked once an interval."""
    schedules = [RepeatSchedule(f"host-{number}") for number in range(hosts)]
    tick_s = REPORT_INTERVAL_S + LATENESS_S
    return [
        count * tick_s
        for count in range(round(SECONDS / tick_s))
        for schedule in schedules
        if schedule.is_due(hosts, 1_000 + count * tick_s)
    ]


@pytest.mark.parametrize("hosts", [1, 7, HOSTS_AT_FULL_RATE])
def test_each_host_of_a_small_fleet_repeats_at_every_interval(hosts: int) -> None:
    ticks = round(SECONDS / (REPORT_INTERVAL_S + LATENESS_S))
    assert len(_due_times(hosts)) == hosts * ticks


@pytest.mark.parametrize("hosts", [34, 91, 300, 1_500])
def test_a_large_fleet_repeats_no_more_often_and_without_long_gaps(hosts: int) -> None:
    times = _due_times(hosts)
    assert len(times) <= 1.15 * HOSTS_AT_FULL_RATE * SECONDS / REPORT_INTERVAL_S
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert max(gaps) <= 3.1 * (REPORT_INTERVAL_S + LATENESS_S)
