"""The configuration of a deployment, as operators write it.

Field names carry their units: ``_ms`` milliseconds, ``_s`` seconds, ``_mbit_per_s`` megabits per
second, ``_per_s`` requests per second.
"""

from __future__ import annotations

import msgspec

MS_PER_S = 1_000


class Defaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Fleet-wide defaults; entries of ``exceptions`` override them for single parts."""

    deadline_ms: int = 2_000
    lookup_lifetime_s: float = 5.0
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    workspace_rate_per_s: float = 100.0
    workspace_burst: int = 50
    target_slots: int = 3
    target_connections: int = 330
    retry_budget_ratio: float = 0.1
    attempts: int = 3
    ramp_s: float = 10.0
    proof_s: float = 2.0
    clock_drift: float = 0.01
    silence_ms: int = 1_000
    crash_limit: int = 2


class FailureDomain(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A failure domain of a region."""


class Region(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A region; ``capacity_slots`` bounds the requests in progress there over all hosts."""

    failure_domains: dict[str, FailureDomain]
    capacity_slots: int | None = None


class Delays(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One-way delays in milliseconds."""

    between_domains_ms: float
    between_regions_ms: float
    to_clients_ms: float


class Link(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A link between two regions; the figure holds for each direction."""

    mbit_per_s: float


class Places(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Regions, and what lies between them. ``links`` names exceptions as ``region/region``."""

    regions: dict[str, Region]
    delays: Delays
    link: Link
    links: dict[str, Link] = {}
    store_region: str

    def round_trip_s(self, here: str, there: str) -> float:
        """Return the declared round trip between hosts of two regions, in seconds."""
        delays = self.delays
        one_way_ms = delays.between_domains_ms if here == there else delays.between_regions_ms
        return 2 * one_way_ms / MS_PER_S


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A route of a service, chosen by method and longest path prefix."""

    path: str
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = True
    open: bool = False
    deadline_ms: int | None = None


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One upstream process; ``address`` is ``ip:port``."""

    address: str
    failure_domain: str
    slots: int | None = None
    connections: int | None = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A service, its routes and its targets by name."""

    routes: tuple[Route, ...]
    targets: dict[str, Target]


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A workspace's rate (requests per second) and burst (requests), fleet-wide."""

    rate_per_s: float | None = None
    burst: int | None = None


class ConfigException(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An override of one field, with the reason for it.

    ``path`` is dotted, such as ``workspaces.midnight-sun.rate_per_s``.
    """

    path: str
    value: int | float | str | bool
    reason: str


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole configuration."""

    name: str
    defaults: Defaults = Defaults()
    places: Places
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    exceptions: tuple[ConfigException, ...] = ()

    def region_of(self, failure_domain: str) -> str:
        """Return the region that holds ``failure_domain``.

        :raises KeyError: if no region does.
        """
        for name, region in self.places.regions.items():
            if failure_domain in region.failure_domains:
                return name
        raise KeyError(failure_domain)

    def rate_of(self, workspace: str) -> float:
        """Return the workspace's rate in requests per second."""
        rate = self.workspaces[workspace].rate_per_s
        return self.defaults.workspace_rate_per_s if rate is None else rate

    def burst_of(self, workspace: str) -> int:
        """Return the workspace's burst in requests."""
        burst = self.workspaces[workspace].burst
        return self.defaults.workspace_burst if burst is None else burst

    def slots_of(self, target: Target) -> int:
        """Return the number of requests that the target runs at once."""
        return self.defaults.target_slots if target.slots is None else target.slots
