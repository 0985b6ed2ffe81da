"""Reports of a region's hosts, gathered for other regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.fleet.messages import ForwardedReport
from flamingoladder.fleet.messages import RegionReports

if TYPE_CHECKING:
    from flamingoladder.fleet.messages import HostReport


class RegionReportQueue:
    """What the region's hosts reported since the last message to other regions."""

    __slots__ = ("_pending_by_host",)

    def __init__(self) -> None:
        self._pending_by_host: dict[str, ForwardedReport] = {}

    def add(self, host: str, incarnation: str, report: HostReport) -> None:
        """Add a report; it is joined with an earlier one of the same incarnation."""
        earlier = self._pending_by_host.get(host)
        if earlier is not None and earlier.incarnation == incarnation:
            report = joined(earlier.report, report)
        self._pending_by_host[host] = ForwardedReport(host, incarnation, report)

    def take(self) -> RegionReports | None:
        """Return the message to send, or None if nothing was reported."""
        pending, self._pending_by_host = self._pending_by_host, {}
        return RegionReports(tuple(pending.values())) if pending else None


def joined(earlier: HostReport, later: HostReport) -> HostReport:
    """Return ``later`` with the rates, objects and notices that only ``earlier`` has."""
    objects = dict(earlier.objects_by_service)
    for service, names in later.objects_by_service.items():
        objects[service] = tuple(dict.fromkeys((*objects.get(service, ()), *names)))
    return msgspec.structs.replace(
        later,
        rates_by_workspace={**earlier.rates_by_workspace, **later.rates_by_workspace},
        objects_by_service=objects,
        rate_limits_by_target={**earlier.rate_limits_by_target, **later.rate_limits_by_target},
        work_by_object=later.work_by_object or earlier.work_by_object,
        leaving_targets={**earlier.leaving_targets, **later.leaving_targets},
    )
