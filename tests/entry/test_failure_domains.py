"""Tests that targets of the host's own failure domain come first, but no request waits for them.

Without this, two thirds of the traffic crossed failure domains, which costs money.
"""

from __future__ import annotations

from collections import Counter

import pytest
from bench.placement import NOW
from bench.placement import SERVICE
from bench.placement import routed_request

from flamingoladder.entry.active_configuration import ActiveConfiguration
from flamingoladder.entry.costs import CROSS_REGION_COST
from flamingoladder.entry.costs import NetworkCosts
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.entry.target_choice import Choice
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder

REGIONS_BY_DOMAIN = {"a": "north", "b": "north", "c": "south"}
LARGE = 1_000_000


def balancer_in(domain: str, domains: str, slots: int) -> tuple[TargetRegistry, LoadBalancer]:
    """Return a load balancer of a host in ``domain``, with a target in each of ``domains``."""
    recorder = Recorder("h", "i")
    registry = TargetRegistry(REGIONS_BY_DOMAIN, recorder)
    limiter = FleetRateLimiter(RateTolerance(), start_full=True)
    for number, failure_domain in enumerate(domains):
        record = TargetRecord(
            target_id=f"{failure_domain}{number}",
            service=SERVICE,
            address="10.0.0.1:80",
            failure_domain=failure_domain,
            slots=slots,
            draining=False,
            slow_start_s=0.0,
        )
        registry.put(record, NOW)
    return registry, LoadBalancer(
        registry,
        ActiveConfiguration(registry, limiter, recorder),
        MemberRegistry("h", recorder),
        SlowStartLimit("h", 1.5, 5.0),
        REGIONS_BY_DOMAIN[domain],
        domain,
    )


def chosen(balancer: LoadBalancer, body: int = 0) -> Choice:
    choice = balancer.choose(routed_request("", NOW, b"x" * body), (), NOW)
    assert isinstance(choice, Choice)
    return choice


@pytest.mark.parametrize("slots", [1, 3, 9])
@pytest.mark.parametrize("body", [0, 60_000, LARGE])
def test_requests_stay_near_while_a_slot_is_free_there_and_no_longer(slots: int, body: int) -> None:
    _, balancer = balancer_in("b", "aabbc", slots)
    sent: Counter[str] = Counter()
    for _ in range(4 * slots):
        target = chosen(balancer, body).target
        balancer.count_send(target, NOW)
        sent[target.record.failure_domain] += 1
        assert sent["a"] == 0 or sent["b"] == 2 * slots
    assert sent == {"b": 2 * slots, "a": 2 * slots}


def test_without_targets_in_the_own_domain_the_others_of_the_region_cost_as_before() -> None:
    _, balancer = balancer_in("b", "aac", 3)
    assert chosen(balancer, LARGE).cost == 1.0


def test_bodies_make_other_domains_dearer_up_to_less_than_a_place_in_a_queue() -> None:
    registry, _ = balancer_in("b", "ac", 3)
    near, far = registry.by_id["a0"], registry.by_id["c1"]
    prices = [NetworkCosts("north", "b", size).of(near, 0.1) for size in (0, 60_000, LARGE)]
    assert 0.01 <= prices[0] <= 0.03
    assert prices == sorted(prices)
    assert prices[-1] < 0.1
    assert NetworkCosts("north", "b", 0).of(far, 0.1) == CROSS_REGION_COST + prices[0]
