"""A queue of requests for slots of one service, ordered by start-time fair queueing.

In virtual time, each request starts when the previous one of its workspace ends, and lasts 1 / rate
of its workspace. The request with the earliest virtual start goes first, so that workspaces with
queued requests are served in proportion to their rates. The virtual start of a workspace that sent
less than its share may lie in the past by up to its burst, or ``MIN_BURST_REQUESTS`` if that is
more, so that a short burst of a small workspace hardly waits for the requests of the others.
"""

from __future__ import annotations

import asyncio
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.steering.chooser import Reservation
    from flamingoladder.verdict import Refusal


# With the configured bursts alone, a few requests of a small workspace waited for a whole flood
# of another one: their 99th percentile latency was 1.71 times that without the flood.
MIN_BURST_REQUESTS = 60.0


class Weight:
    """A workspace's scheduling weight: its rate per second, and its burst in requests."""

    __slots__ = ("burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst


class QueuedRequest:
    """A request in the queue; the future ``reservation`` is resolved when it gets a slot.

    ``shift_to_region`` is the region that a shift moves the request to, if any.
    """

    __slots__ = (
        "_number",
        "_virtual_start",
        "queued_at",
        "request",
        "reservation",
        "shift_to_region",
        "tried",
        "workspace",
    )

    def __init__(
        self,
        request: CallerRequest,
        tried: Collection[str],
        virtual_start: float,
        number: int,
        queued_at: float,
    ) -> None:
        self.request = request
        self.tried = tried
        self.workspace = request.workspace or ""
        self.queued_at = queued_at
        self.shift_to_region: str | None = None
        self.reservation: asyncio.Future[Reservation | Refusal] = (
            asyncio.get_running_loop().create_future()
        )
        self._virtual_start = virtual_start
        self._number = number

    @property
    def virtual_start(self) -> float:
        """Return the virtual start time of the request."""
        return self._virtual_start

    def __lt__(self, other: QueuedRequest) -> bool:
        """Return whether this request is to be served before ``other``."""
        return (self._virtual_start, self._number) < (other._virtual_start, other._number)


class FairQueue:
    """The queued requests of one service at one host."""

    __slots__ = ("_heap", "_last_number", "_length", "_virtual_ends_by_workspace", "_virtual_now")

    def __init__(self) -> None:
        self._virtual_now = 0.0
        self._last_number = 0
        self._heap: list[QueuedRequest] = []
        self._virtual_ends_by_workspace: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def count_ahead_of(self, queued: QueuedRequest) -> int:
        """Return how many queued requests are to be served before ``queued``."""
        return sum(other < queued and not other.reservation.done() for other in self._heap)

    def shifted(self) -> list[QueuedRequest]:
        """Return the queued requests that a shift moves to another region."""
        return [
            queued
            for queued in self._heap
            if queued.shift_to_region is not None and not queued.reservation.done()
        ]

    def head_wait_s(self, now: float) -> float:
        """Return how long the request at the head of the queue has waited, in seconds."""
        while self._heap and self._heap[0].reservation.done():
            heapq.heappop(self._heap)
        return now - self._heap[0].queued_at if self._heap else 0.0

    def enqueue(
        self, request: CallerRequest, tried: Collection[str], weight: Weight, now: float
    ) -> QueuedRequest:
        """Add a request to the queue; ``weight`` is that of its workspace."""
        workspace = request.workspace or ""
        earliest_start = (
            self._virtual_now - max(weight.burst, MIN_BURST_REQUESTS) / weight.rate_per_s
        )
        virtual_start = max(
            earliest_start, self._virtual_ends_by_workspace.get(workspace, earliest_start)
        )
        self._virtual_ends_by_workspace[workspace] = virtual_start + 1 / weight.rate_per_s
        self._last_number += 1
        queued = QueuedRequest(request, tried, virtual_start, self._last_number, now)
        heapq.heappush(self._heap, queued)
        self._length += 1
        return queued

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the queued requests in the order in which to serve them."""
        popped: list[QueuedRequest] = []
        try:
            while self._heap:
                queued = heapq.heappop(self._heap)
                if queued.reservation.done():
                    continue
                popped.append(queued)
                yield queued
        finally:
            for queued in popped:
                if not queued.reservation.done():
                    heapq.heappush(self._heap, queued)

    def grant(self, queued: QueuedRequest, reservation: Reservation | Refusal) -> None:
        """Remove a request from the queue and resolve its future with ``reservation``."""
        self._virtual_now = max(self._virtual_now, queued.virtual_start)
        self._length -= 1
        queued.reservation.set_result(reservation)

    def cancel(self, queued: QueuedRequest, weight: Weight) -> None:
        """Remove a request that stops waiting; it isn't charged to its workspace."""
        if queued.reservation.done() and not queued.reservation.cancelled():
            return
        queued.reservation.cancel()
        self._length -= 1
        self._virtual_ends_by_workspace[queued.workspace] -= 1 / weight.rate_per_s
