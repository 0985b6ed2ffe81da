"""Registry of the fleet's hosts and their latest reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.fleet.messages import HostReport

if TYPE_CHECKING:
    from flamingoladder.members.member import Member
    from flamingoladder.timeline.recorder import Recorder

REPORT_INTERVAL_S = 0.25
HOSTS_AT_FULL_RATE = 32
REPORT_LIFETIME_INTERVALS = 6.4
LOST_AFTER_S = 45.0


class ReceivedReport(msgspec.Struct, frozen=True):
    """The latest report of a host, and its time of arrival in monotonic seconds."""

    report: HostReport
    incarnation: str
    received_at: float


class MemberRegistry:
    """Registered members by host, without this one, and their latest reports."""

    __slots__ = ("_own_host", "_recorder", "_silent_since", "members_by_host", "reports_by_host")

    def __init__(self, own_host: str, recorder: Recorder) -> None:
        self._own_host = own_host
        self._recorder = recorder
        self._silent_since: dict[str, float] = {}
        self.members_by_host: dict[str, Member] = {}
        self.reports_by_host: dict[str, ReceivedReport] = {}

    @property
    def own_host(self) -> str:
        """Return the name of this host."""
        return self._own_host

    @property
    def host_count(self) -> int:
        """Return the number of registered hosts, this one included."""
        return len(self.members_by_host) + 1

    @property
    def report_interval_s(self) -> float:
        """Return the interval between two reports; a larger fleet reports less often.

        This bounds the number of messages that a host receives per second.
        """
        return REPORT_INTERVAL_S * max(1.0, self.host_count / HOSTS_AT_FULL_RATE)

    def put(self, member: Member, now: float) -> None:
        """Add or update a member."""
        if member.host == self._own_host:
            return
        previous = self.members_by_host.get(member.host)
        self.members_by_host[member.host] = member
        if previous is None or previous.incarnation != member.incarnation:
            self.reports_by_host.pop(member.host, None)
            self._silent_since[member.host] = now

    def remove(self, host: str) -> None:
        """Remove a host and its report."""
        self.members_by_host.pop(host, None)
        self.reports_by_host.pop(host, None)
        self._silent_since.pop(host, None)

    def receive(self, host: str, incarnation: str, report: HostReport, now: float) -> None:
        """Store a report, unless it is of another incarnation or older than the stored one."""
        member = self.members_by_host.get(host)
        if member is None or member.incarnation != incarnation:
            return
        previous = self.reports_by_host.get(host)
        if previous is not None and report.sequence < previous.report.sequence:
            return
        if not self.is_alive(host, now):
            self._recorder.record("host.heard", peer=host)
        if previous is not None:
            report = _with_kept_figures(previous.report, report)
        self.reports_by_host[host] = ReceivedReport(report, incarnation, now)
        self._silent_since[host] = now

    def is_alive(self, host: str, now: float) -> bool:
        """Return whether the host's latest report is recent enough."""
        received = self.reports_by_host.get(host)
        return received is not None and now - received.received_at < self._report_lifetime_s

    def live_reports(self, now: float) -> dict[str, HostReport]:
        """Return the reports that have not expired, by host."""
        lifetime_s = self._report_lifetime_s
        return {
            host: received.report
            for host, received in self.reports_by_host.items()
            if now - received.received_at < lifetime_s
        }

    @property
    def _report_lifetime_s(self) -> float:
        return REPORT_LIFETIME_INTERVALS * self.report_interval_s

    def serving(self, now: float, region: str | None = None) -> list[Member]:
        """Return the other members that accept callers, all or those of one ``region``."""
        lifetime_s, reports = self._report_lifetime_s, self.reports_by_host
        return [
            member
            for host, member in self.members_by_host.items()
            if not member.leaving
            and (region is None or member.region == region)
            and (received := reports.get(host)) is not None
            and now - received.received_at < lifetime_s
            and not received.report.unavailable
        ]

    def has_lowest_name(self, now: float, region: str | None = None) -> bool:
        """Return whether this host has the lowest name of all serving hosts.

        With a ``region``, only the hosts of that region are compared.
        """
        return not any(member.host < self._own_host for member in self.serving(now, region))

    def lost(self, now: float) -> list[Member]:
        """Return the members that have sent no report for ``LOST_AFTER_S``."""
        return [
            member
            for host, member in self.members_by_host.items()
            if now - self._silent_since.get(host, now) > LOST_AFTER_S
        ]


def _with_kept_figures(previous: HostReport, report: HostReport) -> HostReport:
    """Return ``report`` with what only ``previous`` has of rates and of objects' work.

    Without news the rates are those of ``previous`` themselves, so that no one compares them.
    """
    rates = previous.rates_by_workspace
    if report.rates_by_workspace:
        rates = {**rates, **report.rates_by_workspace}
    work = report.work_by_object or previous.work_by_object
    return msgspec.structs.replace(report, rates_by_workspace=rates, work_by_object=work)
