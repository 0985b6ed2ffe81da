"""Replays of popular objects: they gain from warm targets and overload none of them.

Requests for one popular object queued at its only home, with twice the mean load, while other
targets were free.
"""

from __future__ import annotations

from statistics import median
from time import perf_counter

import pytest
from bench.placement import NOW
from bench.placement import SERVICE
from bench.placement import balancer_of
from bench.placement import routed_request
from bench.placement_replay import COLD_S
from bench.placement_replay import SLOTS
from bench.placement_replay import WARM_S
from bench.placement_replay import Draw
from bench.placement_replay import Replay
from bench.placement_replay import many_requested_once
from bench.placement_replay import moving_popularity
from bench.placement_replay import one_with_a_third

HOSTS = 6
TARGETS = 24
HALF_OF_ALL_SLOTS = TARGETS * SLOTS / WARM_S / 2
QUARTER = HALF_OF_ALL_SLOTS / 2
SETTLE_S = 10.0
MEASURED_S = 15.0
MAX_LOAD = 1.5
MIN_WARM = 0.9
HOT = "r\0hot"
MOST_SECONDS_PER_CHOICE = 0.000_2


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("draw", "rate"),
    [
        (one_with_a_third, HALF_OF_ALL_SLOTS),
        (moving_popularity, HALF_OF_ALL_SLOTS),
        (many_requested_once, QUARTER),
    ],
)
def test_popular_objects_stay_warm_and_overload_no_target(
    draw: Draw, rate: float, seed: int
) -> None:
    replay = Replay(HOSTS, TARGETS, seed)
    replay.run(SETTLE_S, rate, draw)
    replay.reset_counts()
    replay.run(MEASURED_S, rate, draw)
    assert replay.warm >= MIN_WARM * replay.could_be_warm
    assert replay.largest_load <= MAX_LOAD
    assert replay.refused <= replay.sent / 1_000


def test_a_popular_object_that_loses_a_home_stays_warm_and_all_hosts_agree_on_the_rest() -> None:
    replay = Replay(HOSTS, TARGETS, 3)
    replay.run(SETTLE_S, HALF_OF_ALL_SLOTS, one_with_a_third)
    homes = replay.balancers[0][1].homes_of(SERVICE).homes(HOT)
    assert len(homes) > 2
    replay.lose(homes[0])
    replay.reset_counts()
    replay.run(MEASURED_S, HALF_OF_ALL_SLOTS, one_with_a_third)
    assert replay.warm >= MIN_WARM * replay.could_be_warm
    after = [balancer.homes_of(SERVICE).homes(HOT) for _, balancer in replay.balancers]
    assert len(set(after)) == 1
    assert set(homes[1:3]) <= set(after[0])


def test_where_warm_runs_gain_nothing_load_alone_counts() -> None:
    replay = Replay(HOSTS, TARGETS, 5, warm_s=COLD_S)
    rate = TARGETS * SLOTS / COLD_S / 2
    replay.run(SETTLE_S, rate, one_with_a_third)
    replay.reset_counts()
    replay.run(MEASURED_S, rate, one_with_a_third)
    assert replay.largest_load <= MAX_LOAD
    assert max(target.most_waiting for target in replay.targets.values()) <= SLOTS


def test_a_choice_costs_little_with_many_targets_and_objects() -> None:
    """It took 0.3 ms and more at 1,024 targets, which hosts with half a core can't afford."""
    registry, balancer = balancer_of(1_024)
    for number in range(1_000_000):
        balancer.homes_of(SERVICE).add_objects((f"r\0{number}",), "north")
    seconds = []
    for number in range(999_000, 1_000_000):
        for _ in range(2):
            started = perf_counter()
            balancer.choose(routed_request(str(number), NOW), (), NOW)
            seconds.append(perf_counter() - started)
    assert len(registry.by_id) == 1_024
    assert median(seconds[1::2]) < MOST_SECONDS_PER_CHOICE
