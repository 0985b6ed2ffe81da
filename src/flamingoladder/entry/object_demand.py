"""Combines the demand for popular objects at all hosts, and gives these objects their homes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.steering.hot_objects import MIN_PART_OF_TARGET
from flamingoladder.steering.hot_objects import HotObjects
from flamingoladder.steering.object_work import ObjectWork

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from flamingoladder.entry.service_targets import ServiceTargetsCache
    from flamingoladder.steering.home_assignment import HomeAssignment

MAX_OBJECTS_PER_REPORT = 32
# Larger fleets report objects less often, to save bytes; the other reports leave them out.
HOSTS_THAT_ALWAYS_REPORT = 8
REPORT_INTERVAL_S = 1.0
# Of what a host would have to report if all had the same demand for an object that just counts.
REPORTED_PART = 0.5
HUNDREDTHS = 100

WorkByObject = dict[str, dict[str, int]]


class ObjectDemand:
    """The work that requests for each object ask of targets, by service, of this and other hosts.

    Hosts decide by reported figures alone, this one's included, so that all decide the same.
    """

    __slots__ = (
        "_homes_of",
        "_hot_by_service",
        "_next_report_at",
        "_reported",
        "_targets",
        "_work_by_service",
    )

    def __init__(
        self, targets: ServiceTargetsCache, homes_of: Callable[[str], HomeAssignment]
    ) -> None:
        self._targets = targets
        self._homes_of = homes_of
        self._work_by_service: dict[str, ObjectWork] = {}
        self._hot_by_service: dict[str, HotObjects] = {}
        self._reported: WorkByObject = {}
        self._next_report_at = 0.0

    def add(self, service: str, key: str, seconds: float, now: float) -> None:
        """Count a request of this host that takes ``seconds`` of a target's slot."""
        work = self._work_by_service.get(service)
        if work is None:
            work = self._work_by_service[service] = ObjectWork()
        work.add(key, seconds, now)

    def report(self, hosts: int, now: float) -> WorkByObject:
        """Return the hundredths of slots that the popular objects of this host keep busy.

        A report that is left out is empty; one that says that no object is popular names services.
        """
        if hosts > HOSTS_THAT_ALWAYS_REPORT and now < self._next_report_at:
            return {}
        self._next_report_at = now + REPORT_INTERVAL_S
        self._reported = {}
        for service, work in self._work_by_service.items():
            least = REPORTED_PART * MIN_PART_OF_TARGET * self._target_slots(service, now) / hosts
            busiest = work.busiest(MAX_OBJECTS_PER_REPORT, least, now)
            self._reported[service] = {
                key: max(1, round(slots * HUNDREDTHS)) for key, slots in busiest.items()
            }
        return self._reported

    def apply(self, reports: Iterable[WorkByObject], now: float) -> None:
        """Take in the latest reports of all other hosts."""
        totals: dict[str, dict[str, float]] = {}
        for report in (self._reported, *reports):
            for service, work_by_object in report.items():
                total = totals.setdefault(service, {})
                for key, hundredths in work_by_object.items():
                    total[key] = total.get(key, 0.0) + hundredths / HUNDREDTHS
        for service in totals.keys() | self._hot_by_service.keys():
            hot = self._hot_by_service.setdefault(service, HotObjects())
            targets = len(self._targets.get(service, now).started)
            slots = self._target_slots(service, now)
            if targets and hot.update(totals.get(service, {}), slots, targets, now):
                self._homes_of(service).set_hot(hot.by_key)

    def _target_slots(self, service: str, now: float) -> float:
        slots = self._targets.get(service, now).slots_by_target.values()
        return max(1.0, sum(slots) / max(1, len(slots)))
