"""The configuration and the evacuations that this host applies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.limits.rate_limiter import FleetRateLimiter
    from flamingoladder.routing.model import RoutingConfig
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.timeline.recorder import Recorder


class ActiveConfiguration:
    """The newest received configuration: an older version never replaces a newer one.

    ``routing`` is None until a configuration is received.
    """

    __slots__ = ("_rate_limiter", "_recorder", "_targets", "routing")

    def __init__(
        self, targets: TargetRegistry, rate_limiter: FleetRateLimiter, recorder: Recorder
    ) -> None:
        self._targets = targets
        self._rate_limiter = rate_limiter
        self._recorder = recorder
        self.routing: RoutingConfig | None = None

    def set_routing(self, routing: RoutingConfig, now: float) -> None:
        """Apply a configuration if it is newer than the current one."""
        if self.routing is not None and routing.version <= self.routing.version:
            return
        self.routing = routing
        self._rate_limiter.keep_only(routing.workspaces_by_name)
        self._recorder.record("configuration.in_force", version=routing.version)

    def set_evacuated(self, domains: Iterable[str], now: float) -> None:
        """Apply the set of evacuated failure domains."""
        services = self.routing.services_by_name.values() if self.routing is not None else ()
        slow_start_s = max((service.slow_start_s for service in services), default=0.0)
        self._targets.set_evacuated(domains, now, slow_start_s)
