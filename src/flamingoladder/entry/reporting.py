"""Makes this host's reports and takes in what the others reported."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import HostReport

if TYPE_CHECKING:
    from flamingoladder.entry.chooser import TargetChooser
    from flamingoladder.fleet.members import MemberBook
    from flamingoladder.limits.rates import FleetRates
    from flamingoladder.limits.retries import RetryBudgets
    from flamingoladder.targets.book import TargetBook

OBJECTS_A_REPORT = 12


class Reporter:
    """Between the reports and the slices that use them."""

    __slots__ = (
        "_budgets",
        "_chooser",
        "_members",
        "_next_object_by_service",
        "_rates",
        "_targets",
        "leaving",
    )

    def __init__(
        self,
        targets: TargetBook,
        chooser: TargetChooser,
        rates: FleetRates,
        budgets: RetryBudgets,
        members: MemberBook,
    ) -> None:
        self._targets = targets
        self._chooser = chooser
        self._rates = rates
        self._budgets = budgets
        self._members = members
        self._next_object_by_service: dict[str, int] = {}
        self.leaving = False

    def report(self, now: float) -> HostReport:
        """Return what to tell the other hosts."""
        targets = self._targets.by_id
        return HostReport(
            self.leaving,
            self._rates.report(now),
            {name: target.in_flight for name, target in targets.items() if target.in_flight},
            tuple(name for name, target in targets.items() if target.down),
            {
                service: self._some_objects(service, objects)
                for service, objects in self._chooser.objects().items()
            },
        )

    def take_in(self, now: float) -> None:
        """Let the newest reports of all hosts take effect."""
        reports = self._members.heard(now)
        rates = {host: report.rates_by_workspace for host, report in reports.items()}
        self._rates.update(self._members.hosts, rates, self._members.report_interval_s)
        self._budgets.set_hosts(self._members.hosts)
        elsewhere: dict[str, int] = {}
        for host, report in reports.items():
            region = self._members.members_by_host[host].region
            for name, count in report.in_flight_by_target.items():
                elsewhere[name] = elsewhere.get(name, 0) + count
            for service, objects in report.objects_by_service.items():
                self._chooser.plan_of(service).add(objects, region)
        for name, target in self._targets.by_id.items():
            target.in_flight_elsewhere = elsewhere.get(name, 0)

    def _some_objects(self, service: str, objects: list[str]) -> tuple[str, ...]:
        start = self._next_object_by_service.get(service, 0)
        if start >= len(objects):
            start = 0
        self._next_object_by_service[service] = start + OBJECTS_A_REPORT
        return tuple(objects[start : start + OBJECTS_A_REPORT])
