"""Tests of the traffic split of a route's requests among services."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from flamingoladder.routing.model import ServiceShare
from flamingoladder.routing.traffic_split import TrafficSplitter
from tests.routing.test_model import route

OBJECTS = 72
REQUESTS = 1_000
MAX_DEVIATION = 0.1


@pytest.mark.parametrize("shares", [(0.9, 0.1), (0.5, 0.5), (0.6, 0.3, 0.1)])
@pytest.mark.parametrize("seed", range(5))
def test_each_service_gets_its_share(shares: tuple[float, ...], seed: int) -> None:
    service_shares = tuple(ServiceShare(f"s{number}", share) for number, share in enumerate(shares))
    split = route("r", "/", "a.example", *service_shares)
    splitter = TrafficSplitter()
    random = Random(seed)
    counts = Counter(
        splitter.choose_service(split, str(random.randrange(OBJECTS))) for _ in range(REQUESTS)
    )
    for service_share in service_shares:
        assert abs(counts[service_share.service] / REQUESTS - service_share.share) < MAX_DEVIATION


def test_requests_of_an_object_mostly_stay_at_one_service() -> None:
    split = route("r", "/", "a.example", ServiceShare("a", 0.5), ServiceShare("b", 0.5))
    splitter = TrafficSplitter()
    random = Random(1)
    services: dict[str, Counter[str]] = {}
    for _ in range(REQUESTS):
        key = str(random.randrange(OBJECTS))
        services.setdefault(key, Counter())[splitter.choose_service(split, key)] += 1
    at_main_service = sum(max(counts.values()) for counts in services.values())
    assert at_main_service > 0.8 * REQUESTS
