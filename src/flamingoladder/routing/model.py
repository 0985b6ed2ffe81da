"""Routes, services and workspaces of one version of the configuration.

Field names carry their units: ``_s`` seconds, ``_per_s`` requests per second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


class ServiceShare(msgspec.Struct, frozen=True):
    """The share of a route's requests that one service gets; shares add up to 1."""

    service: str
    share: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route, chosen by the host name and the longest prefix of the path.

    ``timeout_s`` bounds the wait for an answer, ``max_targets`` the targets that one request is
    sent to. ``regions`` names the only regions that may serve it; if it is empty, all may.
    Within ``aim_s`` an answer is in time. ``rank`` orders what is refused when there is too much:
    the highest number first.
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
    public: bool
    sticky: bool
    regions: frozenset[str] = frozenset()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service. A target that has just started takes ``ramp_per_s`` for ``ramp_s`` seconds.

    ``max_connections`` is what one of its targets accepts from all hosts together.
    """

    name: str
    health_path: str
    max_connections: int
    slow_start_s: float
    slow_start_rate_per_s: float


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace; a ``rate_per_s`` of 0 sets no limit. A ``rank`` replaces those of routes."""

    name: str
    rate_per_s: float
    burst: float
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864


class RoutingConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; without ``workspaces_by_key`` no key is asked for."""

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
        """Return the part of all ranks that come after this request's; 0 for the least urgent."""
        own = _rank(route, workspace)
        return sum(rank > own for rank in self.priorities) / len(self.priorities)


def priorities_of(routes: Iterable[Route], workspaces: Iterable[Workspace]) -> frozenset[int]:
    """Return all ranks that requests of a configuration may have."""
    replaced = {workspace.priority for workspace in workspaces if workspace.priority is not None}
    return frozenset({route.priority for route in routes} | replaced)


def _rank(route: Route, workspace: Workspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
