"""Plans the split of this region's requests between regions from the reports of all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.fleet.relays import MAX_DIRECT_HOSTS
from flamingoladder.steering.offered_load import TENTHS
from flamingoladder.steering.offered_load import OfferedLoad
from flamingoladder.steering.region_plan import RegionPlan

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.fleet.messages import HostReport
    from flamingoladder.targets.registry import TargetRegistry

# Without updates for this long, figures are unknown and requests stay.
PLAN_LIFETIME_S = 5.0


class RegionPlanner:
    """The region plans of all services, in fleets of more than ``MAX_DIRECT_HOSTS``.

    The demand of a region is the sum over its hosts. It counts as unknown, and the region takes no
    part in plans, if none of its hosts is heard or one of them does not report its offered load.
    """

    __slots__ = (
        "_members",
        "_own_region",
        "_plans_by_service",
        "_targets",
        "_updated_at",
        "offered",
    )

    def __init__(self, targets: TargetRegistry, members: MemberRegistry, own_region: str) -> None:
        self._targets = targets
        self._members = members
        self._own_region = own_region
        self._plans_by_service: dict[str, RegionPlan] = {}
        self._updated_at = 0.0
        self.offered = OfferedLoad()

    def report(self, now: float) -> dict[str, int] | None:
        """Return the offered load to report to the other hosts, or None in a small fleet."""
        return self.offered.report(now) if self._is_in_use else None

    def update(self, reports_by_host: Mapping[str, HostReport], now: float) -> None:
        """Take in the live reports of the other hosts."""
        if not self._is_in_use:
            self._plans_by_service.clear()
            return
        offered_by_region = self._offered_by_region(reports_by_host, now)
        for service in self._targets.by_service:
            plan = self._plans_by_service.setdefault(service, RegionPlan(self._own_region))
            demand = {
                region: sum(offered.get(service, 0) for offered in found) / TENTHS
                for region, found in offered_by_region.items()
            }
            plan.update(demand, self._slots_by_region(service, now), now)
        self._updated_at = now

    def preferred_region(self, service: str, request_hash: int, now: float) -> str:
        """Return the region in which a request should run; ``request_hash`` is a stable hash."""
        plan = self._plans_by_service.get(service)
        if plan is None or now - self._updated_at > PLAN_LIFETIME_S:
            return self._own_region
        return plan.preferred_region(request_hash)

    @property
    def _is_in_use(self) -> bool:
        return self._members.host_count > MAX_DIRECT_HOSTS

    def _offered_by_region(
        self, reports_by_host: Mapping[str, HostReport], now: float
    ) -> dict[str, list[dict[str, int]]]:
        """Return what the hosts of each region report, without regions of unknown demand."""
        found = {self._own_region: [self.offered.report(now)]}
        unknown = set()
        for host, report in reports_by_host.items():
            member = self._members.members_by_host.get(host)
            if member is None:
                continue
            if report.offered_by_service is None:
                unknown.add(member.region)
            else:
                found.setdefault(member.region, []).append(report.offered_by_service)
        return {region: offered for region, offered in found.items() if region not in unknown}

    def _slots_by_region(self, service: str, now: float) -> dict[str, float]:
        slots: dict[str, float] = {}
        for target in self._targets.eligible_targets(service):
            if not target.in_slow_start(now):
                slots[target.region] = slots.get(target.region, 0.0) + target.record.slots
        return slots
