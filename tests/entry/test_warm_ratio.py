"""Tests of the learned ratio of warm to cold runs, with noise as on a busy machine."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from flamingoladder.entry.costs import EVEN_RUN_COSTS
from flamingoladder.entry.costs import USUAL_RUN_COSTS
from flamingoladder.entry.warm_ratio import WarmRatio
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

NOISE = 0.25
COLD_S_BY_ROUTE = {"lookup": 0.41, "order": 1.84}


def learned(ratio: float, runs: int, learner: WarmRatio | None = None, seed: int = 1) -> WarmRatio:
    learner, random = learner or WarmRatio(), Random(seed)
    for _ in range(runs):
        for route, cold_s in COLD_S_BY_ROUTE.items():
            for warm, factor in ((True, ratio), (False, 1.0)):
                learner.record(route, cold_s * factor * random.lognormvariate(0, NOISE), warm=warm)
    return learner


@pytest.mark.parametrize(
    ("ratio", "runs", "low", "high"),
    [
        (1.0, 5, 0.3, 0.3),
        (0.3, 200, 0.3, 0.3),
        (0.35, 200, 0.3, 0.3),
        (0.6, 200, 0.55, 0.65),
        (0.1, 200, 0.09, 0.11),
        (1.0, 100, 1.0, 1.0),
        (0.95, 200, 1.0, 1.0),
    ],
)
@pytest.mark.parametrize("seed", range(5))
def test_the_usual_ratio_holds_until_another_is_certain(
    ratio: float, runs: int, low: float, high: float, seed: int
) -> None:
    """Affinity where it gained nothing made popular objects queue while targets were free."""
    run_costs = learned(ratio, runs, seed=seed).run_costs()
    assert low <= run_costs.warm <= high
    assert (run_costs is USUAL_RUN_COSTS) is (low == 0.3)
    assert (run_costs is EVEN_RUN_COSTS) is (low == 1.0)


def test_a_changed_service_is_learned_anew() -> None:
    learner = learned(1.0, 200)
    assert learner.run_costs() is EVEN_RUN_COSTS
    assert learned(0.3, 2_000, learner).run_costs() is USUAL_RUN_COSTS


def test_routes_of_one_kind_of_run_alone_say_nothing() -> None:
    learner = WarmRatio()
    for _ in range(200):
        learner.record("lookup", 0.4, warm=True)
        learner.record("order", 0.4, warm=False)
    assert learner.run_costs() is USUAL_RUN_COSTS


async def test_where_affinity_gains_nothing_requests_go_by_load_and_distance() -> None:
    harness = EntryHarness(FakeTargetClient(), regions_by_domain={"d1": "r1", "d2": "r1"})
    ratio = harness.balancer._warm_ratios_by_service["s"] = WarmRatio()
    now = asyncio.get_running_loop().time()
    await harness.handler.handle(incoming(), now)
    home = harness.targets.by_id[harness.client.sent[0]]
    home.remote_in_flight = 3
    await harness.handler.handle(incoming(), now)
    learned(1.0, 200, ratio)
    await harness.handler.handle(incoming(), now)
    first, second, third = harness.client.sent
    assert first == second != third
