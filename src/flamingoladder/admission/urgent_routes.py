"""How long the more urgent routes of a service can bear to wait at a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.routing.model import Route
    from flamingoladder.routing.model import RoutingConfig


class UrgentRoutes:
    """The routes of each service, the most urgent first, of one version of the configuration."""

    __slots__ = ("_routes_by_service", "_version")

    def __init__(self) -> None:
        self._version: int | None = None
        self._routes_by_service: dict[str, list[Route]] = {}

    def update(self, routing: RoutingConfig) -> None:
        """Apply a configuration if it is another version."""
        if routing.version == self._version:
            return
        self._version = routing.version
        self._routes_by_service = {}
        for routes in routing.routes_by_host.values():
            for route in routes:
                for share in route.shares:
                    if share.share > 0:
                        self._routes_by_service.setdefault(share.service, []).append(route)
        for routes_of_service in self._routes_by_service.values():
            routes_of_service.sort(key=_priority_of)

    def bearable_wait_s(
        self, service: str, rank: int, typical_run_s: Callable[[str, str], float | None]
    ) -> float | None:
        """Return the wait that the most urgent route above ``rank`` can bear, or None without one.

        It is the route's latency SLO less a typical run; with equal priorities the least counts.
        """
        routes = self._routes_by_service.get(service)
        if not routes or routes[0].priority >= rank:
            return None
        return min(
            max(0.0, route.latency_slo_s - (typical_run_s(service, route.name) or 0.0))
            for route in routes
            if route.priority == routes[0].priority
        )


def _priority_of(route: Route) -> int:
    return route.priority
