"""The requests that wait for a slot of one service, in the order of start-time fair queueing.

Each request starts, in virtual time, where the last one of its workspace ended, and lasts one over
its workspace's rate. The earliest start goes first. So each workspace with requests waiting is
served in proportion to its rate. One that sent less than its part may lag behind the present by its
burst, and any by at least ``MIN_LAG`` requests, so that a few requests at once of a small workspace
hardly wait for those of the others.
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


MIN_LAG = 60.0


class Weight:
    """A workspace's rate per second and burst, by which it is served."""

    __slots__ = ("burst", "rate")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst


class QueuedRequest:
    """A request that waits; ``turn`` brings its reservation.

    ``moves_to`` is the region that a shift moves the request to, if any.
    """

    __slots__ = (
        "_number",
        "_start",
        "joined_at",
        "moves_to",
        "request",
        "tried",
        "turn",
        "workspace",
    )

    def __init__(
        self,
        request: CallerRequest,
        tried: Collection[str],
        start: float,
        number: int,
        joined_at: float,
    ) -> None:
        self.request = request
        self.tried = tried
        self.workspace = request.workspace or ""
        self.joined_at = joined_at
        self.moves_to: str | None = None
        self.turn: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()
        self._start = start
        self._number = number

    @property
    def start(self) -> float:
        """Return the virtual time at which the request starts."""
        return self._start

    def __lt__(self, other: QueuedRequest) -> bool:
        """Return whether this request goes before ``other``."""
        return (self._start, self._number) < (other._start, other._number)


class FairQueue:
    """The waiting requests of one service at one host."""

    __slots__ = ("_ends_by_workspace", "_joined", "_now", "_waiters", "_waiting")

    def __init__(self) -> None:
        self._now = 0.0
        self._joined = 0
        self._waiters: list[QueuedRequest] = []
        self._ends_by_workspace: dict[str, float] = {}
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def before(self, waiter: QueuedRequest) -> int:
        """Return how many requests are to be served before ``waiter``."""
        return sum(other < waiter and not other.turn.done() for other in self._waiters)

    def shifted(self) -> list[QueuedRequest]:
        """Return the waiting requests that are to move to another region."""
        return [w for w in self._waiters if w.moves_to is not None and not w.turn.done()]

    def first_waits_s(self, now: float) -> float:
        """Return how long the request to be served next has waited, in seconds."""
        while self._waiters and self._waiters[0].turn.done():
            heapq.heappop(self._waiters)
        return now - self._waiters[0].joined_at if self._waiters else 0.0

    def join(
        self, request: CallerRequest, tried: Collection[str], weight: Weight, now: float
    ) -> QueuedRequest:
        """Let a request wait; ``weight`` is its workspace's."""
        workspace = request.workspace or ""
        earliest = self._now - max(weight.burst, MIN_LAG) / weight.rate
        start = max(earliest, self._ends_by_workspace.get(workspace, earliest))
        self._ends_by_workspace[workspace] = start + 1 / weight.rate
        self._joined += 1
        waiter = QueuedRequest(request, tried, start, self._joined, now)
        heapq.heappush(self._waiters, waiter)
        self._waiting += 1
        return waiter

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the waiting requests, the one to serve first first."""
        passed: list[QueuedRequest] = []
        try:
            while self._waiters:
                waiter = heapq.heappop(self._waiters)
                if waiter.turn.done():
                    continue
                passed.append(waiter)
                yield waiter
        finally:
            for waiter in passed:
                if not waiter.turn.done():
                    heapq.heappush(self._waiters, waiter)

    def serve(self, waiter: QueuedRequest, reservation: Reservation) -> None:
        """Let a request go on with ``reservation``."""
        self._now = max(self._now, waiter.start)
        self._waiting -= 1
        waiter.turn.set_result(reservation)

    def give_up(self, waiter: QueuedRequest, weight: Weight) -> None:
        """Take a request off that won't wait any longer; its workspace isn't charged for it."""
        if waiter.turn.done() and not waiter.turn.cancelled():
            return
        waiter.turn.cancel()
        self._waiting -= 1
        self._ends_by_workspace[waiter.workspace] -= 1 / weight.rate
