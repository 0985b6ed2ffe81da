"""Sends this host's reports and takes in those of the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import CrashReport
from flamingoladder.fleet.messages import HostReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.fleet.members import MemberBook
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks


class ReportExchange:
    """Tells all other hosts the same again and again; a lost report is replaced by the next."""

    __slots__ = ("_book", "_heard", "_links", "_make_report", "_received")

    def __init__(
        self,
        links: PeerLinks,
        book: MemberBook,
        make_report: Callable[[float], HostReport],
        received: Callable[[str, HostReport], None],
        heard: Callable[[float], None],
        crashed: Callable[[CrashReport, float], None],
    ) -> None:
        self._links = links
        self._book = book
        self._make_report = make_report
        self._received = received
        self._heard = heard
        links.register(HostReport, self._on_report)

        async def on_crash(_peer: Peer, report: CrashReport) -> None:
            crashed(report, asyncio.get_running_loop().time())

        links.register(CrashReport, on_crash)

    async def run(self) -> None:
        """Report for ever."""
        loop = asyncio.get_running_loop()
        while True:
            self.send(loop.time())
            await asyncio.sleep(self._book.report_interval_s)

    def send(self, now: float) -> None:
        """Report once, and let the heard reports take effect."""
        report = self._make_report(now)
        for host in self._links.hosts:
            self._links.tell(host, report)
        self._heard(now)

    def tell_crash(self, report: CrashReport) -> None:
        """Tell all other hosts of a crash."""
        for host in self._links.hosts:
            self._links.tell(host, report)

    async def _on_report(self, peer: Peer, report: HostReport) -> None:
        now = asyncio.get_running_loop().time()
        self._book.hear(peer.host, peer.incarnation, report, now)
        self._received(peer.host, report)
