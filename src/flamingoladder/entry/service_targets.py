"""The targets of a service that may take requests, kept until registrations or slow starts change.

A choice that went through all targets of a service took 5.8 ms at 1,024 targets.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.state import TargetState


class ServiceTargets:
    """The eligible targets of one service at a time, in monotonic seconds.

    Those that are ``starting`` are in slow start, the ``started`` ones may be homes of objects.
    This holds while the registry counts ``changes`` changes, up to the end of the next slow start.
    """

    __slots__ = (
        "_changes",
        "_valid_until",
        "eligible",
        "failure_domains",
        "regions_by_target",
        "slots_by_target",
        "started",
        "started_by_id",
        "starting",
    )

    def __init__(self, eligible: list[TargetState], changes: int, now: float) -> None:
        self._changes = changes
        self.eligible = eligible
        self.started = [target for target in eligible if not target.in_slow_start(now)]
        self.starting = [target for target in eligible if target.in_slow_start(now)]
        self.started_by_id = {target.record.target_id: target for target in self.started}
        self.regions_by_target = {name: t.region for name, t in self.started_by_id.items()}
        self.slots_by_target = {name: t.record.slots for name, t in self.started_by_id.items()}
        self.failure_domains = {target.record.failure_domain for target in eligible}
        ends = (target.slow_start_until for target in self.starting)
        self._valid_until = min(ends, default=inf)

    def holds(self, changes: int, now: float) -> bool:
        """Return whether the targets are still the same."""
        return changes == self._changes and now < self._valid_until


class ServiceTargetsCache:
    """The eligible targets by service, renewed when they change."""

    __slots__ = ("_targets", "_targets_by_service")

    def __init__(self, targets: TargetRegistry) -> None:
        self._targets = targets
        self._targets_by_service: dict[str, ServiceTargets] = {}

    def get(self, service: str, now: float) -> ServiceTargets:
        """Return the targets of a service."""
        changes = self._targets.eligibility_changes
        found = self._targets_by_service.get(service)
        if found is not None and found.holds(changes, now):
            return found
        found = ServiceTargets(self._targets.eligible_targets(service), changes, now)
        self._targets_by_service[service] = found
        return found
