"""Divides the requests of a route among its services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.hashing import HASH_RANGE
from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from flamingoladder.routing.model import Route
    from flamingoladder.routing.model import ServiceShare

MAX_DEFICIT = 0.04
MIN_COUNT = 20.0
DECAY = 0.995


class TrafficSplitter:
    """Keeps the requests of an object at one service, unless a share falls short."""

    __slots__ = ("_counts_by_route",)

    def __init__(self) -> None:
        self._counts_by_route: dict[str, dict[str, float]] = {}

    def choose_service(self, route: Route, affinity_key: str) -> str:
        """Return the service for a request of ``route`` for the object ``affinity``."""
        if len(route.shares) == 1:
            return route.shares[0].service
        counts = self._counts_of(route)
        service = self._short_of_share(route, counts) or _hashed_part(route, affinity_key).service
        for name in counts:
            counts[name] *= DECAY
        counts[service] += 1
        return service

    def _counts_of(self, route: Route) -> dict[str, float]:
        services = {part.service for part in route.shares}
        counts = self._counts_by_route.get(route.name)
        if counts is None or counts.keys() != services:
            counts = self._counts_by_route[route.name] = dict.fromkeys(sorted(services), 0.0)
        return counts

    def _short_of_share(self, route: Route, counts: dict[str, float]) -> str | None:
        total = sum(counts.values())
        if total < MIN_COUNT:
            return None
        part = max(route.shares, key=lambda part: part.share - counts[part.service] / total)
        if part.share - counts[part.service] / total <= MAX_DEFICIT:
            return None
        return part.service


def _hashed_part(route: Route, affinity: str) -> ServiceShare:
    point = stable_hash(route.name, affinity, "split") / HASH_RANGE
    for part in route.shares:
        if point < part.share:
            return part
        point -= part.share
    return route.shares[-1]
