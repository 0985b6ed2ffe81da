"""The hosts of the fleet: those that are registered, and those that are heard."""

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
FORGET_AFTER_S = 45.0


class ReceivedReport(msgspec.Struct, frozen=True):
    """The newest report of a host, and when it came in monotonic seconds."""

    report: HostReport
    incarnation: str
    received_at: float


class MemberRegistry:
    """Registered members by host, without this one, and their newest reports."""

    __slots__ = ("_own_host", "_recorder", "_silent_since", "members_by_host", "reports_by_host")

    def __init__(self, own_host: str, recorder: Recorder) -> None:
        self._own_host = own_host
        self._recorder = recorder
        self._silent_since: dict[str, float] = {}
        self.members_by_host: dict[str, Member] = {}
        self.reports_by_host: dict[str, ReceivedReport] = {}

    @property
    def host_count(self) -> int:
        """Return the number of registered hosts, this one included."""
        return len(self.members_by_host) + 1

    @property
    def report_interval_s(self) -> float:
        """Return the pause between two reports; a larger fleet reports less often.

        So the messages that a host takes in a second stay below a bound.
        """
        return REPORT_INTERVAL_S * max(1.0, self.host_count / HOSTS_AT_FULL_RATE)

    def put(self, member: Member, now: float) -> None:
        """Take in a registration."""
        if member.host == self._own_host:
            return
        known = self.members_by_host.get(member.host)
        self.members_by_host[member.host] = member
        if known is None or known.incarnation != member.incarnation:
            self.reports_by_host.pop(member.host, None)
            self._silent_since[member.host] = now

    def remove(self, host: str) -> None:
        """Forget a host."""
        self.members_by_host.pop(host, None)
        self.reports_by_host.pop(host, None)
        self._silent_since.pop(host, None)

    def receive(self, host: str, incarnation: str, report: HostReport, now: float) -> None:
        """Take in a report."""
        member = self.members_by_host.get(host)
        if member is None or member.incarnation != incarnation:
            return
        if not self.is_alive(host, now):
            self._recorder.record("host.heard", peer=host)
        known = self.reports_by_host.get(host)
        earlier = {} if known is None else known.report.rates_by_workspace
        rates = {**earlier, **report.rates_by_workspace}
        whole = msgspec.structs.replace(report, rates_by_workspace=rates)
        self.reports_by_host[host] = ReceivedReport(whole, incarnation, now)
        self._silent_since[host] = now

    def is_alive(self, host: str, now: float) -> bool:
        """Return whether the host reported of late."""
        heard = self.reports_by_host.get(host)
        return heard is not None and now - heard.received_at < self._heard_lifetime_s

    def live_reports(self, now: float) -> dict[str, HostReport]:
        """Return the reports that are young enough to count, by host."""
        lifetime_s = self._heard_lifetime_s
        return {
            host: heard.report
            for host, heard in self.reports_by_host.items()
            if now - heard.received_at < lifetime_s
        }

    @property
    def _heard_lifetime_s(self) -> float:
        return REPORT_LIFETIME_INTERVALS * self.report_interval_s

    def serving(self, now: float) -> list[Member]:
        """Return the other members that take callers."""
        reports = self.live_reports(now)
        return [
            member
            for host, member in self.members_by_host.items()
            if not member.leaving and host in reports and not reports[host].unavailable
        ]

    def has_lowest_name(self, now: float, region: str | None = None) -> bool:
        """Return whether this host's name comes before those of all other serving hosts.

        With a ``region`` only its hosts count.
        """
        return not any(
            member.host < self._own_host
            for member in self.serving(now)
            if region is None or member.region == region
        )

    def lost(self, now: float) -> list[Member]:
        """Return members that were silent for so long that they count as gone for good."""
        return [
            member
            for host, member in self.members_by_host.items()
            if now - self._silent_since.get(host, now) > FORGET_AFTER_S
        ]
