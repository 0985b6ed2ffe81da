"""Settings of an entry host."""

from __future__ import annotations

import msgspec

from flamingoladder.limits.tolerance import RateTolerance


class Endpoint(msgspec.Struct, frozen=True):
    """An IPv4 address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.address}:{self.port}"


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Guaranteed limits; names with ``_s`` are in seconds.

    ``grace_s`` limits the duration of a graceful stop.
    ``retry_ratio`` and ``retry_slack`` limit the retries of all hosts in ``retry_window_s``.
    A change in the store is in force at every host within ``propagation_s``.
    A target in slow start gets at most ``slow_start_overshoot`` times its declared rate plus
    ``slow_start_slack`` requests per second. ``lookup_ttl_s`` limits the time to live of lookup
    answers. ``rate_tolerance`` is how far workspaces may exceed their rates and bursts.
    """

    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    slow_start_overshoot: float
    slow_start_slack: float
    lookup_ttl_s: float
    propagation_s: float
    rate_tolerance: RateTolerance = RateTolerance()


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of an entry host; ``first_start`` is True if the whole fleet starts fresh.

    ``link_mbps`` is the bandwidth of the host's link in Mbit/s, ``memory_mb`` what a process may
    take in megabytes, ``capacity_cores`` the processor time per second that the host may use, and
    ``max_fds`` how many descriptors it may open; each is 0 if it is not known.
    """

    host: str
    failure_domain: str
    region: str
    first_start: bool
    regions_by_domain: dict[str, str]
    callers: Endpoint
    health: Endpoint
    lookups: Endpoint
    peers: Endpoint
    metrics: Endpoint
    store_url: str
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    capacity_cores: float = 0.0
    max_fds: int = 0
    bounds: Bounds
