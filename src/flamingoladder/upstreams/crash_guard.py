"""Stops requests that crash each target that runs them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from flamingoladder.upstreams.messages import CrashSighting
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks

SIGHTINGS_LIFETIME_S = 600.0
SAME_CRASH_S = 1.0
LONG_AGO = float("-inf")
MAX_REQUESTS = 10_000

Fingerprint = tuple[str | None, str, str, str]


class Sightings:
    """When each target was last lost while it ran one request, in monotonic seconds."""

    __slots__ = ("_crashes", "_last_by_target", "last")

    def __init__(self) -> None:
        self._crashes = 0
        self._last_by_target: dict[str, float] = {}
        self.last = 0.0

    def add(self, target: str, started: float, now: float) -> bool:
        """Count a loss at ``now`` of an attempt from ``started``.

        Attempts in progress at one crash are lost together and count as one.
        """
        last = self._last_by_target.get(target, LONG_AGO)
        self._last_by_target[target] = now
        self.last = now
        if started <= last:
            return False
        self._crashes += 1
        return True

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return self._crashes


class CrashGuard:
    """Counts the crashes of each request, seen here and by peers.

    A request that was answered is forgotten: it was lost through no fault of its own.
    """

    __slots__ = ("_links", "_sightings_by_fingerprint")

    def __init__(self, links: PeerLinks) -> None:
        self._links = links
        self._sightings_by_fingerprint: OrderedDict[Fingerprint, Sightings] = OrderedDict()
        links.register(CrashSighting, self._on_sighting)

    def refusal_of(self, request: CallerRequest, limit: int, now: float) -> Refusal | None:
        """Return a refusal ``NOT_RUN`` if ``limit`` crashes of this request were seen."""
        fingerprint = _fingerprint(request)
        sightings = self._sightings_by_fingerprint.get(fingerprint)
        if sightings is None:
            return None
        if now - sightings.last > SIGHTINGS_LIFETIME_S:
            del self._sightings_by_fingerprint[fingerprint]
            return None
        if sightings.crashes < limit:
            return None
        detail = f"this request was in progress at {sightings.crashes} crashes of targets"
        return Refusal.not_run(Reason.REQUEST_CRASHES_UPSTREAMS, detail)

    def saw_loss(self, request: CallerRequest, target: str, started: float, now: float) -> None:
        """Count a target lost at ``now`` while it ran the request, and tell the peers."""
        sighting = CrashSighting(*_fingerprint(request), target)
        if not self._count(sighting, started, now):
            return
        for host in self._links.hosts:
            self._links.send(host, sighting)

    def saw_answer(self, request: CallerRequest) -> None:
        """Forget the request's crashes."""
        if self._sightings_by_fingerprint:
            self._sightings_by_fingerprint.pop(_fingerprint(request), None)

    async def _on_sighting(self, _peer: Peer, sighting: CrashSighting) -> None:
        now = asyncio.get_running_loop().time()
        self._count(sighting, now - SAME_CRASH_S, now)

    def _count(self, sighting: CrashSighting, started: float, now: float) -> bool:
        fingerprint = (sighting.workspace, sighting.service, sighting.route, sighting.digest)
        sightings = self._sightings_by_fingerprint.setdefault(fingerprint, Sightings())
        self._sightings_by_fingerprint.move_to_end(fingerprint)
        if len(self._sightings_by_fingerprint) > MAX_REQUESTS:
            self._sightings_by_fingerprint.popitem(last=False)
        return sightings.add(sighting.target, started, now)


def _fingerprint(request: CallerRequest) -> Fingerprint:
    return request.workspace, request.service, request.route.path, request.digest
