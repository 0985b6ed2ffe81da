"""Builds this host's reports and applies those of the other hosts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import HostReport
from flamingoladder.fleet.processor_use import ProcessorUse
from flamingoladder.limits.rate_deltas import RateDeltas
from flamingoladder.targets.rate_limit import MS_PER_S
from flamingoladder.targets.rate_limit import Told

if TYPE_CHECKING:
    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.entry.load_balancer import LoadBalancer
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.limits.rate_limiter import FleetRateLimiter
    from flamingoladder.limits.retry_budgets import RetryBudgets
    from flamingoladder.steering.known_objects import KnownObjects
    from flamingoladder.targets.notice_learner import NoticeLearner
    from flamingoladder.targets.rate_limit import RateLimitReport
    from flamingoladder.targets.registry import TargetRegistry

# Known objects are repeated a few at a time, because reports were most of the bytes sent between
# regions.
REPEATED_OBJECTS_PER_REPORT = 12
MAX_NEW_OBJECTS_PER_REPORT = 40


class HostReporter:
    """Builds reports from the components' state, and updates the components from received ones."""

    __slots__ = (
        "_balancer",
        "_budgets",
        "_configuration",
        "_members",
        "_next_object_by_service",
        "_notices",
        "_processor_use",
        "_rate_deltas",
        "_rate_limiter",
        "_reported_count_by_service",
        "_targets",
        "leaving",
    )

    def __init__(
        self,
        targets: TargetRegistry,
        configuration: ActiveConfiguration,
        balancer: LoadBalancer,
        rate_limiter: FleetRateLimiter,
        budgets: RetryBudgets,
        members: MemberRegistry,
        notices: NoticeLearner,
        processor_use: ProcessorUse | None = None,
    ) -> None:
        self._targets = targets
        self._configuration = configuration
        self._balancer = balancer
        self._rate_limiter = rate_limiter
        self._budgets = budgets
        self._members = members
        self._notices = notices
        self._processor_use = processor_use or ProcessorUse(0.0)
        self._next_object_by_service: dict[str, int] = {}
        self._reported_count_by_service: dict[str, int] = {}
        self._rate_deltas = RateDeltas()
        self.leaving = False

    def build_report(self, now: float) -> HostReport:
        """Return this host's report for the other hosts."""
        rates = self._rate_deltas.next_report(self._rate_limiter.report(now))
        in_flight = {
            name: target.in_flight
            for name, target in self._targets.by_id.items()
            if target.in_flight
        }
        unavailable = self.leaving or self._configuration.routing is None
        return HostReport(
            unavailable,
            rates,
            in_flight,
            self._objects(with_repeated=self._rate_deltas.is_full),
            self._rate_limits(now),
            self._notices.leaving_targets(now),
            busy_tenths=self._processor_use.observe(time.process_time(), now),
            work_by_object=self._balancer.demand.report(self._members.host_count, now),
        )

    def receive_report(self, host: str, report: HostReport, now: float) -> None:
        """Apply at once what a received report says of objects and of targets' rate limits."""
        member = self._members.members_by_host.get(host)
        if member is None:
            return
        for service, objects in report.objects_by_service.items():
            self._balancer.homes_of(service).add_objects(objects, member.region)
        for target_id, limit in report.rate_limits_by_target.items():
            told = Told(limit.per_s, now - limit.age_ms / MS_PER_S)
            self._notices.learn_reported_rate_limit(target_id, told, host)
        for target_id, started_ms in report.leaving_targets.items():
            self._notices.learn_reported_leaving(target_id, started_ms, host, now)

    def apply_reports(self, now: float) -> None:
        """Apply the newest reports of all hosts."""
        reports = self._members.live_reports(now)
        rates = {host: report.rates_by_workspace for host, report in reports.items()}
        self._rate_limiter.update(self._members.host_count, rates, self._members.report_interval_s)
        self._budgets.set_host_count(self._members.host_count)
        self._balancer.demand.apply((report.work_by_object for report in reports.values()), now)
        remote_in_flight: dict[str, int] = {}
        for report in reports.values():
            for name, count in report.in_flight_by_target.items():
                remote_in_flight[name] = remote_in_flight.get(name, 0) + count
        for name, target in self._targets.by_id.items():
            target.remote_in_flight = remote_in_flight.get(name, 0)

    def _rate_limits(self, now: float) -> dict[str, RateLimitReport]:
        limits = {
            target_id: target.notices.rate_limit.report(now)
            for target_id, target in self._targets.by_id.items()
            if target.notices is not None and target.notices.rate_limit is not None
        }
        return {target_id: report for target_id, report in limits.items() if report is not None}

    def _objects(self, *, with_repeated: bool) -> dict[str, tuple[str, ...]]:
        listed_by_service: dict[str, tuple[str, ...]] = {}
        for service, known in self._balancer.known_by_service().items():
            listed = self._new_objects(service, known)
            if with_repeated:
                listed += self._repeated_objects(service, known)
            if listed:
                listed_by_service[service] = tuple(listed)
        return listed_by_service

    def _new_objects(self, service: str, known: KnownObjects) -> list[str]:
        added = known.added_to_region(self._balancer.region)
        unreported = added - self._reported_count_by_service.get(service, 0)
        waiting = known.newest_of_region(self._balancer.region, unreported)
        new = waiting[:MAX_NEW_OBJECTS_PER_REPORT]
        self._reported_count_by_service[service] = added - len(waiting) + len(new)
        return new

    def _repeated_objects(self, service: str, known: KnownObjects) -> list[str]:
        region, count = self._balancer.region, REPEATED_OBJECTS_PER_REPORT
        start = self._next_object_by_service.get(service, 0)
        repeated = known.slice_of_region(region, start, count)
        if not repeated:
            start, repeated = 0, known.slice_of_region(region, 0, count)
        self._next_object_by_service[service] = start + count
        return repeated
