"""Traffic split of a route's requests among its services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.hashing import HASH_RANGE
from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from flamingoladder.routing.model import Route
    from flamingoladder.routing.model import ServiceShare

MAX_SHARE_DEFICIT = 0.04
MIN_REQUESTS_COUNTED = 20.0
DECAY_PER_REQUEST = 0.995


class TrafficSplitter:
    """Chooses services by hash of the object, unless a service falls short of its share."""

    __slots__ = ("_counts_by_route",)

    def __init__(self) -> None:
        self._counts_by_route: dict[str, dict[str, float]] = {}

    def choose_service(self, route: Route, affinity_key: str) -> str:
        """Return the service for a request of ``route`` with this affinity key."""
        if len(route.shares) == 1:
            return route.shares[0].service
        counts = self._counts_of(route)
        service = self._below_share(route, counts) or _hashed_share(route, affinity_key).service
        for name in counts:
            counts[name] *= DECAY_PER_REQUEST
        counts[service] += 1
        return service

    def _counts_of(self, route: Route) -> dict[str, float]:
        services = {share.service for share in route.shares}
        counts = self._counts_by_route.get(route.name)
        if counts is None or counts.keys() != services:
            counts = self._counts_by_route[route.name] = dict.fromkeys(sorted(services), 0.0)
        return counts

    def _below_share(self, route: Route, counts: dict[str, float]) -> str | None:
        total = sum(counts.values())
        if total < MIN_REQUESTS_COUNTED:
            return None
        lowest = max(
            route.shares, key=lambda candidate: candidate.share - counts[candidate.service] / total
        )
        if lowest.share - counts[lowest.service] / total <= MAX_SHARE_DEFICIT:
            return None
        return lowest.service


def _hashed_share(route: Route, affinity_key: str) -> ServiceShare:
    point = stable_hash(route.name, affinity_key, "split") / HASH_RANGE
    for share in route.shares:
        if point < share.share:
            return share
        point -= share.share
    return route.shares[-1]
