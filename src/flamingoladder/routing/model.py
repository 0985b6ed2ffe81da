"""Routes, services and workspaces of one version of the configuration.

Field names carry their units: ``_s`` seconds, ``_per_s`` requests per second.
"""

from __future__ import annotations

from functools import cached_property
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
    """Limits of callers' requests and connections.

    An unfinished head is bounded by ``header_timeout_s`` and an idle connection by
    ``idle_timeout_s``; 0 sets no bound.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


class _PrefixIndex:
    """The routes of one host name by prefix, and the lengths of all prefixes, the longest first."""

    __slots__ = ("_lengths", "_routes_by_prefix")

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_prefix: dict[str, Route] = {}
        for route in routes:
            self._routes_by_prefix.setdefault(route.prefix, route)
        self._lengths = sorted({len(prefix) for prefix in self._routes_by_prefix}, reverse=True)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``; the first of several alike."""
        for length in self._lengths:
            route = self._routes_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RoutingConfig(msgspec.Struct, frozen=True, kw_only=True, dict=True):
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
        index = self._indexes_by_host.get(host)
        return None if index is None else index.find(path)

    def urgency(self, route: Route, workspace: Workspace | None) -> float:
        """Return the share of all priorities that are less urgent; 0 for the least urgent."""
        own = _priority(route, workspace)
        return sum(priority > own for priority in self.priorities) / len(self.priorities)

    @cached_property
    def _indexes_by_host(self) -> dict[str, _PrefixIndex]:
        """Each request looks for its route, and a configuration may have thousands of routes."""
        return {host: _PrefixIndex(routes) for host, routes in self.routes_by_host.items()}


def priorities_of(routes: Iterable[Route], workspaces: Iterable[Workspace]) -> frozenset[int]:
    """Return all priorities that requests of a configuration may have."""
    overrides = {workspace.priority for workspace in workspaces if workspace.priority is not None}
    return frozenset({route.priority for route in routes} | overrides)


def _priority(route: Route, workspace: Workspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority
