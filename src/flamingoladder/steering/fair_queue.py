"""The requests that wait for a slot of one service, in the order of start-time fair queueing.

Each request starts, in virtual time, where the last one of its workspace ended, or now if that is
past; it lasts one over its workspace's weight. The earliest start goes first. So each workspace
with requests waiting is served in proportion to its weight, and one that sends less than its part
hardly waits for the others.
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


class Waiter:
    """A request that waits; ``turn`` brings its reservation."""

    __slots__ = ("_number", "_start", "joined_at", "request", "tried", "turn", "workspace")

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
        self.turn: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()
        self._start = start
        self._number = number

    @property
    def start(self) -> float:
        """Return the virtual time at which the request starts."""
        return self._start

    def __lt__(self, other: Waiter) -> bool:
        """Return whether this request goes before ``other``."""
        return (self._start, self._number) < (other._start, other._number)


class FairQueue:
    """The waiting requests of one service at one host."""

    __slots__ = ("_ends_by_workspace", "_joined", "_now", "_waiters", "_waiting_by_workspace")

    def __init__(self) -> None:
        self._now = 0.0
        self._joined = 0
        self._waiters: list[Waiter] = []
        self._ends_by_workspace: dict[str, float] = {}
        self._waiting_by_workspace: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(self._waiting_by_workspace.values())

    def waiting(self, workspace: str) -> int:
        """Return how many requests of the workspace wait."""
        return self._waiting_by_workspace.get(workspace, 0)

    @property
    def workspaces(self) -> Collection[str]:
        """Return the workspaces that have requests waiting."""
        return self._waiting_by_workspace.keys()

    def first_waits_s(self, now: float) -> float:
        """Return how long the request to be served next has waited, in seconds."""
        while self._waiters and self._waiters[0].turn.done():
            heapq.heappop(self._waiters)
        return now - self._waiters[0].joined_at if self._waiters else 0.0

    def join(
        self, request: CallerRequest, tried: Collection[str], weight: float, now: float
    ) -> Waiter:
        """Let a request wait; ``weight`` is its workspace's."""
        workspace = request.workspace or ""
        start = max(self._now, self._ends_by_workspace.get(workspace, 0.0))
        self._ends_by_workspace[workspace] = start + 1 / weight
        self._joined += 1
        waiter = Waiter(request, tried, start, self._joined, now)
        heapq.heappush(self._waiters, waiter)
        self._waiting_by_workspace[workspace] = self.waiting(workspace) + 1
        return waiter

    def in_order(self) -> Iterator[Waiter]:
        """Yield the waiting requests, the one to serve first first."""
        passed: list[Waiter] = []
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

    def serve(self, waiter: Waiter, reservation: Reservation) -> None:
        """Let a request go on with ``reservation``."""
        self._now = max(self._now, waiter.start)
        self._leave(waiter)
        waiter.turn.set_result(reservation)

    def give_up(self, waiter: Waiter, weight: float) -> None:
        """Take a request off that won't wait any longer; its workspace isn't charged for it."""
        if waiter.turn.done() and not waiter.turn.cancelled():
            return
        waiter.turn.cancel()
        self._leave(waiter)
        self._ends_by_workspace[waiter.workspace] -= 1 / weight

    def _leave(self, waiter: Waiter) -> None:
        left = self._waiting_by_workspace[waiter.workspace] - 1
        if left:
            self._waiting_by_workspace[waiter.workspace] = left
        else:
            del self._waiting_by_workspace[waiter.workspace]
