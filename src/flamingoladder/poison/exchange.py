"""How hosts tell each other of ended targets."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from flamingoladder.poison.messages import PoisonQuery
from flamingoladder.poison.messages import PoisonReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks

QUERY_TIMEOUT_S = 0.15


class PoisonExchange(ABC):
    """Broadcasts reports, and asks another host for all that it knows."""

    @abstractmethod
    def broadcast(self, report: PoisonReport) -> None:
        """Send the report to all other hosts; it may be lost."""

    @abstractmethod
    async def query(self, host: str) -> PoisonReport | None:
        """Return all that another host knows, or None if it does not reply in time."""

    @abstractmethod
    def serve(
        self, on_report: Callable[[PoisonReport, float], None], known: Callable[[], PoisonReport]
    ) -> None:
        """Call ``on_report`` with each report and its time of arrival; reply with ``known``."""


class LinkPoisonExchange(PoisonExchange):
    """Sends to all hosts directly."""

    __slots__ = ("_links",)

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def broadcast(self, report: PoisonReport) -> None:
        """Send the report to each other host."""
        self._links.send_all(self._links.hosts, report)

    async def query(self, host: str) -> PoisonReport | None:
        """Return all that another host knows, or None if it does not reply in time."""
        reply = await self._links.request(host, PoisonQuery(), QUERY_TIMEOUT_S)
        return reply if isinstance(reply, PoisonReport) else None

    def serve(
        self, on_report: Callable[[PoisonReport, float], None], known: Callable[[], PoisonReport]
    ) -> None:
        """Take in reports and answer queries."""

        async def receive(peer: Peer, report: PoisonReport) -> None:
            self._pass_on(peer, report)
            on_report(report, asyncio.get_running_loop().time())

        async def reply(_peer: Peer, _query: PoisonQuery) -> PoisonReport:
            return known()

        self._links.register(PoisonReport, receive)
        self._links.register(PoisonQuery, reply)

    def _pass_on(self, peer: Peer, report: PoisonReport) -> None:
        return
