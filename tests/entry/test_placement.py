"""Replays of popular objects: they gain from warm targets and overload none of them.

Requests for one popular object queued at its only home, with twice the mean load, while other
targets were free.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import pytest
from bench.placement import SERVICE

from tests.entry.placement_replay import COLD_S
from tests.entry.placement_replay import SLOTS
from tests.entry.placement_replay import WARM_S
from tests.entry.placement_replay import Replay

if TYPE_CHECKING:
    from random import Random

HOSTS = 6
TARGETS = 24
OBJECTS = 60
HALF_OF_ALL_SLOTS = TARGETS * SLOTS / WARM_S / 2
QUARTER = HALF_OF_ALL_SLOTS / 2
SETTLE_S = 10.0
MEASURED_S = 15.0
POPULAR_FOR_S = 5.0
MAX_LOAD = 1.5
MIN_WARM = 0.9
HOT = "r\0hot"
ONCE = count()


def one_with_a_third(random: Random, now: float) -> str:
    return "hot" if random.random() < 1 / 3 else f"o{random.randrange(OBJECTS)}"


def moving_popularity(random: Random, now: float) -> str:
    is_hot = random.random() < 1 / 3
    return f"hot{now // POPULAR_FOR_S}" if is_hot else f"o{random.randrange(OBJECTS)}"


def many_requested_once(random: Random, now: float) -> str:
    return f"once{next(ONCE)}" if random.random() < 0.3 else f"o{random.randrange(OBJECTS)}"


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
    draw: object, rate: float, seed: int
) -> None:
    replay = Replay(HOSTS, TARGETS, seed)
    replay.run(SETTLE_S, rate, draw)  # type: ignore[arg-type]
    replay.reset_counts()
    replay.run(MEASURED_S, rate, draw)  # type: ignore[arg-type]
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
