"""The bounded queue of one service at a host."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from enum import Enum
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import TypeVar

from flamingoladder.admission.demand import DecayingCount

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from flamingoladder.admission.arrival import Arrival

Place = TypeVar("Place")

MAX_QUEUED = 512
# Each attempt to find a place looks at the targets of the service.
MAX_FAILED_ATTEMPTS = 4
DRAIN_DECAY_S = 2.0
MIN_DRAINED = 4.0


class Standing(IntEnum):
    """The order within a rank; lower goes first."""

    PREFERRED_REPEAT = 0
    IN_SHARE = 1
    OVER_SHARE = 2
    SURPLUS_REPEAT = 3


class LeaveReason(Enum):
    """Why a request was refused while all targets were busy."""

    BUSY = "busy"
    LATE = "late"
    FULL = "queue_full"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"


class QueuedRequest:
    """A request in the queue.

    The request leaves by ``leave_by``: later it can't end by its admission deadline. It is not sent
    while the wait at the target would be longer than ``max_wait_s``, nor to the targets ``tried``.
    """

    __slots__ = ("arrival", "leave_by", "max_wait_s", "number", "standing", "tried")

    def __init__(
        self,
        arrival: Arrival,
        standing: Standing,
        max_wait_s: float,
        leave_by: float,
        tried: tuple[str, ...] = (),
    ) -> None:
        self.arrival = arrival
        self.standing = standing
        self.max_wait_s = max_wait_s
        self.leave_by = leave_by
        self.tried = tried
        self.number = 0

    @property
    def order(self) -> tuple[int, Standing, float, int]:
        """Return the sort key: rank, share of the workspace, wanted time, arrival."""
        return (self.arrival.rank, self.standing, self.arrival.wanted_at, self.number)


class HostQueue:
    """Decides which queued requests are sent, and which leave.

    Load: bursts of less urgent requests while all slots of the service are taken. They wait here
    and not at the targets, so that urgent requests find short queues there.
    """

    __slots__ = ("_drained", "_last_number", "_queued")

    def __init__(self, now: float) -> None:
        self._queued: list[QueuedRequest] = []
        self._last_number = 0
        self._drained = DecayingCount(now, DRAIN_DECAY_S)

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def queued(self) -> tuple[QueuedRequest, ...]:
        """Return the queued requests in order."""
        return tuple(self._queued)

    def add(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the last in order, which leaves, if the queue is full."""
        self._last_number += 1
        queued.number = self._last_number
        insort(self._queued, queued, key=_order_of)
        return self._queued.pop() if len(self._queued) > MAX_QUEUED else None

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request; return whether it was queued."""
        index = bisect_left(self._queued, queued.order, key=_order_of)
        if index == len(self._queued) or self._queued[index] is not queued:
            return False
        del self._queued[index]
        return True

    def would_be_late(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether a request that is not yet queued would leave before its turn."""
        ahead = bisect_left(self._queued, queued.order, key=_order_of)
        wait_s = self._expected_wait_s(ahead, now)
        return wait_s is not None and now + wait_s > queued.leave_by

    def take_leaving(self, now: float) -> list[tuple[QueuedRequest, LeaveReason]]:
        """Remove and return the requests that can't be in time any more, or whose callers left."""
        leaving = []
        staying = []
        for queued in self._queued:
            if queued.arrival.request.caller_disconnected:
                leaving.append((queued, LeaveReason.CALLER_GONE))
            elif now >= queued.leave_by:
                leaving.append((queued, LeaveReason.LATE))
            else:
                staying.append(queued)
        self._queued = staying
        return leaving

    def take_sendable(
        self, place_of: Callable[[QueuedRequest], Place | None], now: float
    ) -> Iterator[tuple[QueuedRequest, Place]]:
        """Remove and yield the requests that have a place at a target, in order.

        ``place_of`` reserves a place for a request, or returns None. A request without a place does
        not hold up those behind it, which may go to other targets, but few are tried.
        """
        failed = 0
        for queued in self.queued:
            place = place_of(queued)
            if place is not None:
                self.remove(queued)
                self._drained.add(now)
                yield queued, place
                continue
            failed += 1
            if failed >= MAX_FAILED_ATTEMPTS:
                return

    def next_leave_by(self) -> float | None:
        """Return when the next request can't be in time any more, or None if none is queued."""
        return min((queued.leave_by for queued in self._queued), default=None)

    def clear_s(self, now: float) -> float:
        """Return the expected time until the queue is empty; 0 while that is not known."""
        return self._expected_wait_s(len(self._queued), now) or 0.0

    def _expected_wait_s(self, ahead: int, now: float) -> float | None:
        """Return the wait behind so many requests, or None while too few were sent to know."""
        drained = self._drained.at(now)
        return None if drained < MIN_DRAINED else ahead * DRAIN_DECAY_S / drained


def _order_of(queued: QueuedRequest) -> tuple[int, Standing, float, int]:
    return queued.order
