"""The bounded queue of one service at a host."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from bisect import insort
from enum import Enum
from itertools import groupby
from itertools import islice
from typing import TYPE_CHECKING
from typing import TypeVar

from flamingoladder.admission.drain_rate import DrainRate

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from flamingoladder.admission.queued_request import QueuedRequest
    from flamingoladder.admission.standing import Standing

Place = TypeVar("Place")

MAX_QUEUED = 512
# Each attempt to find a place looks at the targets of the service.
MAX_FAILED_ATTEMPTS = 4
# The longest queue of one rank and standing from which too little was sent to know its rate.
MAX_UNPROVEN = 32


class LeaveReason(Enum):
    """Why a request was refused while all targets were busy."""

    BUSY = "busy"
    LATE = "late"
    FULL = "queue_full"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"


class HostQueue:
    """Decides which queued requests are sent, and which leave.

    Load: bursts of less urgent requests while all slots of the service are taken. They wait here
    and not at the targets, so that urgent requests find short queues there.
    """

    __slots__ = ("_drain_rates", "_last_number", "_queued")

    def __init__(self) -> None:
        self._queued: list[QueuedRequest] = []
        self._last_number = 0
        self._drain_rates: dict[tuple[int, Standing], DrainRate] = {}

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

    def has_ahead(self, queued: QueuedRequest) -> bool:
        """Return whether a request goes before this one, which is not yet queued."""
        return bool(self._queued) and _order_of(self._queued[0]) < queued.order

    def would_be_late(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether a request that is not yet queued would leave before its turn."""
        group = _standing_of(queued)
        first = bisect_left(self._queued, group, key=_standing_of)
        ahead = bisect_left(self._queued, queued.order, key=_order_of) - first
        wait_s = self._rate_of(group, now).wait_s(ahead, now)
        if wait_s is None:
            return ahead >= MAX_UNPROVEN or now >= queued.leave_by
        return now + wait_s >= queued.leave_by

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
        self,
        place_of: Callable[[QueuedRequest], Place | None],
        now: float,
        limit: int = MAX_QUEUED,
        ended_at: str = "",
    ) -> Iterator[tuple[QueuedRequest, Place]]:
        """Remove and yield up to ``limit`` requests that have a place at a target, in order.

        Of the same rank and standing, those whose answers can be prompt go before those that are
        late already: in the order of time alone, all would wait until they are just too late.
        ``place_of`` reserves a place for a request, or returns None. A request without a place does
        not hold up those behind it, which may go to other targets, but few are tried. After an end
        at the target ``ended_at``, those that wait for it are tried first.
        """
        failed = 0
        sent = 0
        for queued in self._candidates(ended_at, now):
            place = place_of(queued)
            if place is not None:
                self.remove(queued)
                self._rate_of(_standing_of(queued), now).add(now)
                yield queued, place
                sent += 1
            else:
                failed += 1
            if failed >= MAX_FAILED_ATTEMPTS or sent >= limit:
                return

    def next_leave_by(self) -> float | None:
        """Return when the next request can't be in time any more, or None if none is queued."""
        return min((queued.leave_by for queued in self._queued), default=None)

    def retry_wait_s(self, queued: QueuedRequest, now: float) -> float:
        """Return the expected time until the requests like this one are sent; 0 if not known."""
        group = _standing_of(queued)
        first = bisect_left(self._queued, group, key=_standing_of)
        behind = bisect_right(self._queued, group, key=_standing_of)
        return self._rate_of(group, now).wait_s(behind - first, now) or 0.0

    def _candidates(self, ended_at: str, now: float) -> Iterator[QueuedRequest]:
        tried = []
        if ended_at:
            waiting = (of for of in self._in_sending_order(now) if of.target_id == ended_at)
            tried = list(islice(waiting, MAX_FAILED_ATTEMPTS // 2))
            yield from tried
        yield from (of for of in self._in_sending_order(now) if of not in tried)

    def _in_sending_order(self, now: float) -> Iterator[QueuedRequest]:
        for _, group in groupby(self.queued, key=_standing_of):
            of_standing = list(group)
            prompt = bisect_left(of_standing, now, key=_prompt_by)
            yield from of_standing[prompt:]
            yield from of_standing[:prompt]

    def _rate_of(self, group: tuple[int, Standing], now: float) -> DrainRate:
        rate = self._drain_rates.get(group)
        if rate is None:
            rate = self._drain_rates[group] = DrainRate(now)
        return rate


def _order_of(queued: QueuedRequest) -> tuple[int, Standing, float, int]:
    return queued.order


def _standing_of(queued: QueuedRequest) -> tuple[int, Standing]:
    return (queued.arrival.rank, queued.standing)


def _prompt_by(queued: QueuedRequest) -> float:
    return queued.prompt_by
