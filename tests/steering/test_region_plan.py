"""Replays of a wave of demand over the regions on the planned split, without a network."""

from __future__ import annotations

import math
from collections import deque
from random import Random

import pytest

from flamingoladder.hashing import stable_hash
from flamingoladder.steering.offered_load import OfferedLoad
from flamingoladder.steering.overflow_cap import MAX_FRACTION_STEP
from flamingoladder.steering.overflow_cap import WINDOW_S
from flamingoladder.steering.region_plan import FULL
from flamingoladder.steering.region_plan import RegionPlan
from flamingoladder.steering.region_plan import planned_fractions

REGIONS = ("r1", "r2", "r3")
SLOTS = {"r1": 45 * 9.0, "r2": 45 * 9.0, "r3": 10 * 9.0}
PERIOD_S = 36.0
SWING = 0.55
STEP_S = 0.25
REPORT_DELAY_S = 1.0
SMOOTHING_S = 2.0
RUN_S = 1.5
# Hosts refuse requests that would wait for longer.
MAX_WAIT_S = 2.0


def demand_at(number: int, load: float, now: float) -> float:
    """Return a region's demand in slots; ``load`` is the part of all slots that is asked for."""
    phase = 2 * math.pi * (now / PERIOD_S + number / len(REGIONS))
    return load * sum(SLOTS.values()) / len(REGIONS) * (1 + SWING * math.sin(phase))


def replay(load: float, random: Random) -> tuple[float, list[dict[str, float]]]:
    """Return the part of time with a queue beside free slots, and the fractions that left."""
    plans = {region: RegionPlan(region) for region in REGIONS}
    smoothed = {region: demand_at(n, load, 0.0) for n, region in enumerate(REGIONS)}
    reports = deque([smoothed] * int(REPORT_DELAY_S / STEP_S))
    backlog = dict.fromkeys(REGIONS, 0.0)
    bad = steps = 0
    left: list[dict[str, float]] = []
    for step in range(int(8 * PERIOD_S / STEP_S)):
        now = step * STEP_S
        demand = {region: demand_at(n, load, now) for n, region in enumerate(REGIONS)}
        noisy = {
            region: random.gauss(value, math.sqrt(value * RUN_S / STEP_S))
            for region, value in demand.items()
        }
        smoothed = {
            region: value + (noisy[region] - value) * STEP_S / SMOOTHING_S
            for region, value in smoothed.items()
        }
        reports.append(smoothed)
        seen = reports.popleft()
        arriving = dict.fromkeys(REGIONS, 0.0)
        for region, plan in plans.items():
            plan.update(seen, SLOTS, now)
            for other, fraction in plan.fractions_by_region.items():
                arriving[other] += demand[region] * fraction
            arriving[region] += demand[region] * (1 - sum(plan.fractions_by_region.values()))
        left.append({region: sum(p.fractions_by_region.values()) for region, p in plans.items()})
        for region in REGIONS:
            backlog[region] += (arriving[region] - SLOTS[region]) * STEP_S
            backlog[region] = min(max(0.0, backlog[region]), MAX_WAIT_S * SLOTS[region])
        waits = [backlog[region] / SLOTS[region] > 1.0 for region in REGIONS]
        frees = [arriving[of] < 0.9 * SLOTS[of] and not backlog[of] for of in REGIONS]
        if now >= PERIOD_S:
            steps += 1
            bad += any(waits) and any(frees)
    return bad / steps, left


@pytest.mark.parametrize("load", [0.5, 0.7, 0.8, 0.85])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_region_queues_while_another_has_free_slots(load: float, seed: int) -> None:
    bad, left = replay(load, Random(seed))
    assert bad < 0.02
    window = int(WINDOW_S / STEP_S)
    for before, after in zip(left, left[window:], strict=False):
        assert all(after[of] <= before[of] + MAX_FRACTION_STEP + 1e-9 for of in REGIONS)


@pytest.mark.parametrize(
    ("demand", "slots", "expected"),
    [
        pytest.param({"r1": 10, "r2": 10}, {"r1": 20, "r2": 20}, {}, id="room at home"),
        pytest.param({"r1": 26, "r2": 6}, {"r1": 20, "r2": 20}, {"r2": 10 / 26}, id="full"),
        pytest.param(
            {"r1": 26, "r2": 6, "r3": 11},
            {"r1": 20, "r2": 20, "r3": 20},
            {"r2": 20 / 78, "r3": 10 / 78},
            id="in proportion to room",
        ),
        pytest.param({"r1": 8, "r2": 0}, {"r2": 20}, {"r2": 1.0}, id="no slots at home"),
        pytest.param({"r1": 8}, {"r1": 1, "r2": 20}, {}, id="unknown demand elsewhere"),
        pytest.param({"r1": 8, "r2": 0}, {}, {}, id="no slots"),
    ],
)
def test_excess_goes_to_regions_with_room(
    demand: dict[str, float], slots: dict[str, float], expected: dict[str, float]
) -> None:
    assert planned_fractions("r1", demand, slots, FULL) == pytest.approx(expected)


def test_hosts_that_started_at_different_times_plan_alike() -> None:
    early, late = RegionPlan("r3"), RegionPlan("r3")
    for step in range(400):
        now = step * STEP_S
        demand = {region: demand_at(n, 0.7, now) for n, region in enumerate(REGIONS)}
        early.update(demand, SLOTS, now)
        if step > 150:
            late.update(demand, SLOTS, now + 0.1)
    assert late.fractions_by_region == pytest.approx(early.fractions_by_region, abs=0.05)
    chosen = [early.preferred_region(stable_hash(str(n))) for n in range(4_000)]
    for region, fraction in early.fractions_by_region.items():
        assert chosen.count(region) / len(chosen) == pytest.approx(fraction, abs=0.03)


@pytest.mark.parametrize("known", [{"r1": 30.0}, {"r2": 0.0}, {}])
def test_nothing_is_planned_to_or_from_a_region_whose_demand_is_unknown(
    known: dict[str, float],
) -> None:
    plan = RegionPlan("r1")
    for step in range(20):
        plan.update({"r1": 30.0, "r2": 0.0}, {"r1": 10, "r2": 50}, step * STEP_S)
    assert plan.preferred_region(0) == "r2"
    plan.update(known, {"r1": 10, "r2": 50}, 6.0)
    assert plan.preferred_region(0) == "r1"


def test_offered_load_is_arrivals_times_run_time() -> None:
    load = OfferedLoad()
    for number in range(400):
        load.record_arrival("s", number / 40)
        load.record_run("s", 0.5)
    assert load.report(10.0)["s"] == pytest.approx(200, rel=0.05)
    assert load.report(60.0) == {}
