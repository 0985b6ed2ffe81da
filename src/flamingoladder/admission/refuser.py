"""Refuses requests while targets are busy, and remembers what their callers were told."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from flamingoladder.admission.host_queue import LeaveReason
from flamingoladder.admission.refusals import RefusalRecord
from flamingoladder.admission.refusals import spread_retry_after_s
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.admission.arrival import Arrival
    from flamingoladder.admission.refusals import Repeat
    from flamingoladder.entry.request import RoutedRequest

DETAIL_BY_REASON = {
    LeaveReason.BUSY: "all targets are busy",
    LeaveReason.LATE: "all targets are busy, and it can't be in time any more",
    LeaveReason.FULL: "all targets are busy, and the queue is full",
    LeaveReason.CALLER_GONE: "the caller left",
    LeaveReason.STOPPING: "this host is stopping",
}


class Refuser:
    """Makes refusals with spread retry times, counts them by reason, and tells repeats."""

    __slots__ = ("_refusals", "refused_by_reason")

    def __init__(self) -> None:
        self._refusals = RefusalRecord()
        self.refused_by_reason: Counter[LeaveReason] = Counter()

    def take_repeat(self, request: RoutedRequest, now: float) -> Repeat:
        """Return whether a request repeats a refused one."""
        return self._refusals.take(request.fingerprints[-1], now)

    def refuse(self, arrival: Arrival, reason: LeaveReason, wait_s: float, now: float) -> Refusal:
        """Return the refusal of a request that has not run, to come back after ``wait_s``."""
        self.refused_by_reason[reason] += 1
        request = arrival.request
        fingerprint = request.fingerprints[-1]
        retry_after_s = spread_retry_after_s(wait_s, request.incoming.request_id, fingerprint)
        self._refusals.add(fingerprint, arrival.repeat, retry_after_s, now)
        code = Reason.HOST_LEAVING if reason is LeaveReason.STOPPING else Reason.NO_CAPACITY
        return Refusal.not_run(code, DETAIL_BY_REASON[reason], retry_after_s)
