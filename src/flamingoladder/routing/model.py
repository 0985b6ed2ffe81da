"""Routes, services and workspaces of one version of the configuration.

Field names carry their units: ``_s`` seconds, ``_per_s`` requests per second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's share of a route's requests; the shares of a route add up to 1."""

    service: str
    share: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route, chosen by the host name and the longest prefix of the path.

    ``timeout_s`` bounds the wait for an answer, ``max_targets`` the number of targets that one
    request is sent to. ``regions`` lists the only regions that may serve it; if it is empty, all
    may. An answer within ``latency_slo_s`` is in time. Under overload the requests with the
    highest ``priority`` number are refused first. An ``open`` route needs no key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    latency_slo_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_targets: int
    open: bool
    sticky: bool
    regions: frozenset[str] = frozenset()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service. A new target takes ``slow_start_rate_per_s`` for ``slow_start_s`` seconds.

    ``max_connections`` is the number that one target accepts from all hosts together.
    """

    name: str
    health_path: str
    max_connections: int
    slow_start_s: float
    slow_start_rate_per_s: float


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace; a ``rate_per_s`` of 0 sets no limit. Its ``priority`` overrides the routes'."""

    name: str
    rate_per_s: float
    burst: float
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864


class RoutingConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; without workspaces no key is required."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace]
    workspaces_by_name: dict[str, Workspace]
    limits: RequestLimits
    priorities: frozenset[int]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        found = [
            route for route in self.routes_by_host.get(host, ()) if path.startswith(route.prefix)
        ]
        return max(found, key=_prefix_length, default=None)

    def urgency(self, route: Route, workspace: Workspace | None) -> float:
        """Return the share of all priorities that are less urgent; 0 for the least urgent."""
        own = priority_of(route, workspace)
        return sum(priority > own for priority in self.priorities) / len(self.priorities)


def priorities_of(routes: Iterable[Route], workspaces: Iterable[Workspace]) -> frozenset[int]:
    """Return all priorities that requests of a configuration may have."""
    overrides = {workspace.priority for workspace in workspaces if workspace.priority is not None}
    return frozenset({route.priority for route in routes} | overrides)


def priority_of(route: Route, workspace: Workspace | None) -> int:
    """Return the priority of a request: the workspace's, or else the route's."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
