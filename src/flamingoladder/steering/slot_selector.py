"""Which of the free slots suits a request best."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.steering.candidates import TargetStats
from flamingoladder.steering.candidates import candidates

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingoladder.steering.fair_queue import QueuedRequest
    from flamingoladder.steering.slot_table import HeldSlot
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.targets import DeclaredTarget

REPORTED_FULL_FACTOR = 3.0
SHIFT_TRIPS = 3.0


class SlotSelector:
    """Prefers the own region, then targets that answer soon by this host's own observation.

    A target's own report of its load counts against it if it says that it is full, and never for
    it.
    """

    __slots__ = ("_board", "_observed_by_target", "_random", "ramp_s", "region", "round_trip_s")

    def __init__(self, board: HealthBoard, region: str, random: Random) -> None:
        self._board = board
        self._random = random
        self._observed_by_target: dict[str, TargetStats] = {}
        self.region = region
        self.ramp_s = 0.0
        self.round_trip_s = 0.0

    def observed(self, target: str) -> TargetStats:
        """Return what this host has seen of the target."""
        return self._observed_by_target.setdefault(target, TargetStats())

    def best(
        self,
        free: Iterable[HeldSlot],
        targets: Iterable[DeclaredTarget],
        waiter: QueuedRequest,
        local_wait_s: float,
        closed: frozenset[str],
        now: float,
    ) -> tuple[HeldSlot, DeclaredTarget] | None:
        """Return the slot for ``waiter``, or None if it should rather wait.

        ``local_wait_s`` is how long a slot of the own region will probably take. Another region is
        used only if the way there is shorter than that. A request that follows a shift waits a few
        round trips for a slot of the receiving region. No request goes to a ``closed`` region.
        """
        allowed = {t.name: t for t in candidates(targets, self._board, waiter.tried, now)}
        deadline = waiter.request.deadline
        suited = [
            (held, allowed[held.slot.target])
            for held in free
            if held.slot.target in allowed
            and allowed[held.slot.target].region not in closed
            and held.is_free(deadline, now)
            and self._is_warm(held, allowed[held.slot.target], now)
        ]
        if waiter.moves_to is not None and waiter.moves_to not in closed:
            moved = [pair for pair in suited if pair[1].region == waiter.moves_to]
            if moved:
                return min(moved, key=lambda pair: self._cost(*pair))
            if now - waiter.joined_at < SHIFT_TRIPS * self.round_trip_s:
                return None
        local = [pair for pair in suited if pair[1].region == self.region]
        if not local and self._should_stay(waiter, local_wait_s, now):
            return None
        return min(local or suited, key=lambda pair: self._cost(*pair), default=None)

    def _is_warm(self, held: HeldSlot, target: DeclaredTarget, now: float) -> bool:
        if self.observed(target.name).pauses(now):
            return False
        # The same slots at all hosts, so that together they use no more of a cold target.
        return held.slot.index < self._board.of(target.name).slots(target.slots, self.ramp_s, now)

    def _should_stay(self, waiter: QueuedRequest, local_wait_s: float, now: float) -> bool:
        return max(local_wait_s, now - waiter.joined_at) < self.round_trip_s

    def _cost(self, held: HeldSlot, target: DeclaredTarget) -> tuple[float, bool, float]:
        observed = self.observed(target.name)
        cost = (observed.latency_s or 0.0) * (1 + observed.in_flight / target.slots)
        load = self._board.of(target.name).reported_load
        if load is not None and load >= 1:
            cost *= REPORTED_FULL_FACTOR
        # Own slots are left for other hosts to borrow.
        return cost, held.giver is None, self._random.random()
