"""Replays of hosts that learn objects and targets in different orders, without a network.

Hosts that disagreed on homes ran half of the requests cold, which took too long.
"""

from __future__ import annotations

from random import Random

import pytest

from flamingoladder.hashing import stable_hash
from flamingoladder.steering.home_assignment import HomeAssignment
from flamingoladder.steering.target_rankings import ALL_REGIONS
from flamingoladder.steering.target_rankings import KEPT_RANKS
from flamingoladder.steering.target_rankings import TargetRankings

REGIONS = ("north", "south", "east")
# Demand is even, but nine of ten targets are in two of the three regions.
TARGETS = {f"t{n}": "east" if n % 10 == 0 else REGIONS[n % 2] for n in range(150)}
SECONDS = 12
MOST_STEPS = 1_000


def objects_of(count: int) -> list[tuple[str, str]]:
    """Return objects with regions; some are requested from two regions."""
    single = [(f"o{number}", REGIONS[number % 3]) for number in range(count)]
    return single + [(f"o{number}", REGIONS[(number + 1) % 3]) for number in range(0, count, 7)]


def host(items: list[tuple[str, str]], targets: dict[str, str]) -> HomeAssignment:
    assignment = HomeAssignment()
    assignment.set_targets(dict(targets))
    for key, region in items:
        assignment.add_objects((key,), region)
    return assignment


def finish_pass(assignment: HomeAssignment) -> None:
    for _ in range(MOST_STEPS):
        if not assignment.correct():
            return
    pytest.fail("an assignment doesn't end")


def homes(assignment: HomeAssignment, count: int) -> list[str | None]:
    return [assignment.home(f"o{number}") for number in range(count)]


@pytest.mark.parametrize("count", [72, 390, 410, 500, 2_000, 6_000])
def test_hosts_agree_within_a_pass_while_targets_come_and_go_each_second(count: int) -> None:
    random, targets = Random(count), dict(TARGETS)
    items = objects_of(count)
    shuffled = random.sample(items, len(items))
    one, other = host(items, targets), host(shuffled, dict(reversed(targets.items())))
    for second in range(SECONDS):
        for assignment in (one, other):
            homes(assignment, count)
            finish_pass(assignment)
        before = homes(one, count)
        assert before == homes(other, count)
        gone = random.choice(list(targets))
        added = {f"new{second}": targets.pop(gone)} if second % 3 else {}
        targets = {**targets, **added}
        for assignment, order in ((one, 1), (other, -1)):
            assignment.set_targets(dict(list(targets.items())[::order]))
            homes(assignment, count)
            finish_pass(assignment)
        after = homes(one, count)
        lost = before.count(gone)
        gained = sum(after.count(name) for name in added)
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        # What a target loses or gains goes to the room of others, which pass on some of theirs.
        assert moved <= 3 * (lost + gained) + count // 50


def test_a_change_during_an_assignment_neither_stops_nor_restarts_it() -> None:
    """Steps that began anew at each change never came to an end while targets came and went."""
    count, targets = 12_000, dict(TARGETS)
    assignment = host(objects_of(count), targets)
    finish_pass(assignment)
    steps = 0
    assignment.set_targets(dict(list(TARGETS.items())[1:]))
    while assignment.correct():
        steps += 1
        assert steps < MOST_STEPS
        assignment.set_targets(dict(list(TARGETS.items())[steps % 5 :]))
    finish_pass(assignment)
    present = dict(assignment._regions_by_target)
    assert homes(assignment, count) == homes(settled(objects_of(count), present), count)


def settled(items: list[tuple[str, str]], targets: dict[str, str]) -> HomeAssignment:
    assignment = host(items, targets)
    finish_pass(assignment)
    return assignment


def test_kept_ranks_are_those_of_a_whole_sort_after_any_changes() -> None:
    random, rankings = Random(5), TargetRankings()
    names = [f"t{number}" for number in range(60)]
    for _ in range(200):
        present = {name: REGIONS[int(name[1:]) % 3] for name in random.sample(names, 20)}
        rankings.set_targets(present)
        key, region = f"o{random.randrange(8)}", random.choice(("north", ALL_REGIONS))
        expected = sorted(
            (name for name in present if region in (ALL_REGIONS, present[name])),
            key=lambda name, key=key: stable_hash(key, name),  # type: ignore[misc]
        )
        assert list(rankings.present(key, region)) == expected
        assert len(rankings.first(key, region)) <= KEPT_RANKS
