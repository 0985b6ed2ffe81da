"""Rejects requests that repeatedly crash the targets that run them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from flamingoladder.upstreams.messages import CrashReport
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks

CRASH_RECORD_TTL_S = 600.0
# Reports from peers have no start time; within this window, they count as one crash of a target.
SAME_CRASH_WINDOW_S = 1.0
NEVER = float("-inf")
MAX_TRACKED_REQUESTS = 10_000

# Workspace, service, route path and digest: equal for repetitions of a request.
Fingerprint = tuple[str | None, str, str, str]


class CrashRecord:
    """The crashes of targets while they ran one request; times are in monotonic seconds."""

    __slots__ = ("_crashes", "_last_loss_by_target", "last_loss_at")

    def __init__(self) -> None:
        self._crashes = 0
        self._last_loss_by_target: dict[str, float] = {}
        self.last_loss_at = 0.0

    def add(self, target: str, started: float, now: float) -> bool:
        """Record that an attempt begun at ``started`` was lost; return whether it is a new crash.

        Concurrent attempts at one target that are lost in the same crash count once.
        """
        previous_loss = self._last_loss_by_target.get(target, NEVER)
        self._last_loss_by_target[target] = now
        self.last_loss_at = now
        if started <= previous_loss:
            return False
        self._crashes += 1
        return True

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return self._crashes


class CrashGuard:
    """Counts the crashes of targets during each request, on this host and its peers.

    An answer clears the count: it shows that the request did not cause the crashes.
    """

    __slots__ = ("_links", "_records_by_fingerprint")

    def __init__(self, links: PeerLinks) -> None:
        self._links = links
        self._records_by_fingerprint: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        links.register(CrashReport, self._on_crash_report)

    def refusal_of(self, request: CallerRequest, limit: int, now: float) -> Refusal | None:
        """Return a ``NOT_RUN`` refusal if the request has reached ``limit`` crashes, or None."""
        fingerprint = _fingerprint(request)
        record = self._records_by_fingerprint.get(fingerprint)
        if record is None:
            return None
        if now - record.last_loss_at > CRASH_RECORD_TTL_S:
            del self._records_by_fingerprint[fingerprint]
            return None
        if record.crashes < limit:
            return None
        detail = f"this request was in progress at {record.crashes} crashes of targets"
        return Refusal.not_run(Reason.REQUEST_CRASHES_UPSTREAMS, detail)

    def record_loss(self, request: CallerRequest, target: str, started: float, now: float) -> None:
        """Record a target lost while it ran the request; report a new crash to all peers."""
        report = CrashReport(*_fingerprint(request), target)
        if not self._count(report, started, now):
            return
        for host in self._links.hosts:
            self._links.send(host, report)

    def clear_crashes(self, request: CallerRequest) -> None:
        """Clear the request's crashes after an answer."""
        if self._records_by_fingerprint:
            self._records_by_fingerprint.pop(_fingerprint(request), None)

    async def _on_crash_report(self, _peer: Peer, report: CrashReport) -> None:
        now = asyncio.get_running_loop().time()
        self._count(report, now - SAME_CRASH_WINDOW_S, now)

    def _count(self, report: CrashReport, started: float, now: float) -> bool:
        fingerprint = (report.workspace, report.service, report.route, report.digest)
        record = self._records_by_fingerprint.setdefault(fingerprint, CrashRecord())
        self._records_by_fingerprint.move_to_end(fingerprint)
        if len(self._records_by_fingerprint) > MAX_TRACKED_REQUESTS:
            self._records_by_fingerprint.popitem(last=False)
        return record.add(report.target, started, now)


def _fingerprint(request: CallerRequest) -> Fingerprint:
    return request.workspace, request.service, request.route.path, request.digest
