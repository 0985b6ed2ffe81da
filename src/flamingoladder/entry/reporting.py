"""Makes this host's reports and takes in what the others reported."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import HostReport
from flamingoladder.limits.rate_deltas import RateDeltas

if TYPE_CHECKING:
    from flamingoladder.entry.beliefs import Beliefs
    from flamingoladder.entry.chooser import TargetChooser
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.limits.rate_limiter import FleetRateLimiter
    from flamingoladder.limits.retry_budgets import RetryBudgets
    from flamingoladder.targets.registry import TargetRegistry

OBJECTS_IN_TURN = 12
MAX_NEW_OBJECTS = 40


class Reporter:
    """Between the reports and the slices that use them."""

    __slots__ = (
        "_beliefs",
        "_budgets",
        "_chooser",
        "_members",
        "_news",
        "_next_object_by_service",
        "_rates",
        "_targets",
        "_told_by_service",
        "leaving",
    )

    def __init__(
        self,
        targets: TargetRegistry,
        beliefs: Beliefs,
        chooser: TargetChooser,
        rates: FleetRateLimiter,
        budgets: RetryBudgets,
        members: MemberRegistry,
    ) -> None:
        self._targets = targets
        self._beliefs = beliefs
        self._chooser = chooser
        self._rates = rates
        self._budgets = budgets
        self._members = members
        self._next_object_by_service: dict[str, int] = {}
        self._told_by_service: dict[str, int] = {}
        self._news = RateDeltas()
        self.leaving = False

    def report(self, now: float) -> HostReport:
        """Return what to tell the other hosts."""
        rates = self._news.next_report(self._rates.report(now))
        in_flight = {
            name: target.in_flight
            for name, target in self._targets.by_id.items()
            if target.in_flight
        }
        unavailable = self.leaving or self._beliefs.plan is None
        return HostReport(unavailable, rates, in_flight, self._objects(whole=self._news.is_full))

    def receive(self, host: str, report: HostReport) -> None:
        """Take in the objects of a report as it comes."""
        member = self._members.members_by_host.get(host)
        if member is None:
            return
        for service, objects in report.objects_by_service.items():
            self._chooser.plan_of(service).add(objects, member.region)

    def take_in(self, now: float) -> None:
        """Let the newest reports of all hosts take effect."""
        reports = self._members.live_reports(now)
        rates = {host: report.rates_by_workspace for host, report in reports.items()}
        self._rates.update(self._members.host_count, rates, self._members.report_interval_s)
        self._budgets.set_host_count(self._members.host_count)
        elsewhere: dict[str, int] = {}
        for report in reports.values():
            for name, count in report.in_flight_by_target.items():
                elsewhere[name] = elsewhere.get(name, 0) + count
        for name, target in self._targets.by_id.items():
            target.remote_in_flight = elsewhere.get(name, 0)

    def _objects(self, *, whole: bool) -> dict[str, tuple[str, ...]]:
        found: dict[str, tuple[str, ...]] = {}
        for service, objects in self._chooser.objects().items():
            named = self._new_objects(service, objects)
            if whole:
                named += self._objects_in_turn(service, objects)
            if named:
                found[service] = tuple(named)
        return found

    def _new_objects(self, service: str, objects: list[str]) -> list[str]:
        told = self._told_by_service.get(service, 0)
        new = objects[told : told + MAX_NEW_OBJECTS]
        self._told_by_service[service] = told + len(new)
        return new

    def _objects_in_turn(self, service: str, objects: list[str]) -> list[str]:
        start = self._next_object_by_service.get(service, 0)
        if start >= len(objects):
            start = 0
        self._next_object_by_service[service] = start + OBJECTS_IN_TURN
        return objects[start : start + OBJECTS_IN_TURN]
