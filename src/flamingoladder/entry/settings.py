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
    """What is promised; ``_s`` are seconds.

    ``grace_s`` bounds how long a stop may take.
    ``retry_ratio`` and ``retry_slack`` bound the repeats in ``retry_window_s``, over all hosts.
    A cold target takes ``ramp_overshoot`` times its declared rate and ``ramp_slack`` in a second.
    ``rates`` says how far workspaces may pass their rates and bursts.
    """

    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    ramp_overshoot: float
    ramp_slack: float
    lookup_lifetime_s: float
    rates: RateTolerance = RateTolerance()


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of an entry host; ``first_start`` is True when the whole fleet starts anew."""

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
    bounds: Bounds
