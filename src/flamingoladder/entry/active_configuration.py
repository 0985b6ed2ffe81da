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
    """The newest received configuration; an older version never replaces a newer one."""

    __slots__ = ("_rates", "_recorder", "_targets", "plan")

    def __init__(
        self, targets: TargetRegistry, rates: FleetRateLimiter, recorder: Recorder
    ) -> None:
        self._targets = targets
        self._rates = rates
        self._recorder = recorder
        self.plan: RoutingConfig | None = None

    def set_plan(self, plan: RoutingConfig, now: float) -> None:
        """Apply a configuration if it is newer than the current one."""
        if self.plan is not None and plan.version <= self.plan.version:
            return
        self.plan = plan
        self._rates.keep_only(plan.workspaces_by_name)
        self._recorder.record("configuration.in_force", version=plan.version)

    def set_evacuated(self, domains: Iterable[str], now: float) -> None:
        """Apply the set of evacuated failure domains."""
        services = self.plan.services_by_name.values() if self.plan is not None else ()
        ramp_s = max((service.slow_start_s for service in services), default=0.0)
        self._targets.set_evacuated(domains, now, ramp_s)
