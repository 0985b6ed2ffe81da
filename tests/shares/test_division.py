"""Tests of the division of allowances."""

from __future__ import annotations

import pytest
from bench.fleet import TJALDVIK
from bench.fleet import agreed
from bench.fleet import successor

from flamingoladder.config.model import Workspace
from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.division import Division
from flamingoladder.shares.division import follows
from flamingoladder.shares.division import workspace_allowance
from flamingoladder.standins.state import last_proof_ends_at

ALLOWANCE = workspace_allowance("w")


def _division(rate: float, burst: int) -> Division:
    return Division.from_state(agreed(TJALDVIK, {"w": Workspace(rate_per_s=rate, burst=burst)}))


@pytest.mark.parametrize(("rate", "burst"), [(100.0, 50), (10.0, 7), (3.0, 1), (0.5, 20)])
def test_parts_are_disjoint_whole_units_within_the_limit(rate: float, burst: int) -> None:
    division = _division(rate, burst)
    parts = [division.part_of(ALLOWANCE, host, "1") for host in division.members]
    assert sum(part.units for part in parts) == burst * NANOS_PER_UNIT
    assert all(part.units % NANOS_PER_UNIT == 0 for part in parts)
    assert sum(part.rate for part in parts) * 1.01 <= rate * NANOS_PER_UNIT
    assert all(part.units for part in parts if part.rate)


def test_another_incarnation_owns_nothing() -> None:
    assert _division(100.0, 50).part_of(ALLOWANCE, "h0", "2").units == 0


def test_a_division_follows_only_the_one_that_it_replaced() -> None:
    first = agreed(TJALDVIK, {"w": Workspace()})
    second = successor(first, first.members[1:])
    third = successor(second, second.members[1:])
    assert follows(first, second)
    assert follows(second, third)
    assert not follows(first, third)


def test_growth_waits_for_proof_to_lapse_everywhere() -> None:
    defaults = agreed(TJALDVIK, {}).deployment.defaults
    assert last_proof_ends_at(defaults, 10.0) >= 10.0 + defaults.proof_s * (
        1 + defaults.clock_drift
    )
