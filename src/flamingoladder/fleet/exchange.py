"""Sends this host's reports and takes in those of the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import CrashReport
from flamingoladder.fleet.messages import HostReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks


QUIET_REPORT = HostReport()
REPORTS_TO_A_QUIET_ONE = 3


class ReportExchange:
    """Tells all other hosts the same again and again; a lost report is replaced by the next.

    One that tells nothing new is sent one time in ``REPORTS_TO_A_QUIET_ONE``, as a sign of life.

    ``make_report`` returns what to tell, ``heard`` lets all newest reports take effect, and
    ``received`` is given each report as it comes.
    """

    __slots__ = ("_book", "_heard", "_links", "_make_report", "_quiet", "_received")

    def __init__(
        self,
        links: PeerLinks,
        members: MemberRegistry,
        make_report: Callable[[float], HostReport],
        apply_reports: Callable[[float], None],
        on_report: Callable[[str, HostReport], None] | None = None,
    ) -> None:
        self._links = links
        self._book = members
        self._make_report = make_report
        self._heard = apply_reports
        self._received = on_report
        self._quiet = 0
        links.register(HostReport, self._on_report)

    async def run(self) -> None:
        """Report for ever."""
        loop = asyncio.get_running_loop()
        while True:
            self.send(loop.time())
            await asyncio.sleep(self._book.report_interval_s)

    def send(self, now: float) -> None:
        """Report once, and let the heard reports take effect."""
        report = self._make_report(now)
        if self._is_due(report):
            for host in self._links.hosts:
                self._links.tell(host, report)
        self._heard(now)

    def _is_due(self, report: HostReport) -> bool:
        self._quiet = self._quiet + 1 if report == QUIET_REPORT else 0
        return self._quiet % REPORTS_TO_A_QUIET_ONE == 0

    async def _on_report(self, peer: Peer, report: HostReport) -> None:
        now = asyncio.get_running_loop().time()
        self._book.receive(peer.host, peer.incarnation, report, now)
        if self._received is not None:
            self._received(peer.host, report)


class CrashExchange:
    """Passes crashes of targets on between all hosts."""

    __slots__ = ("_links",)

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def subscribe(self, callback: Callable[[CrashReport, float], None]) -> None:
        """Call ``count`` for each crash that another host saw, with monotonic seconds."""

        async def on_crash(_peer: Peer, report: CrashReport) -> None:
            callback(report, asyncio.get_running_loop().time())

        self._links.register(CrashReport, on_crash)

    def broadcast(self, report: CrashReport) -> None:
        """Tell all other hosts of a crash."""
        for host in self._links.hosts:
            self._links.tell(host, report)
