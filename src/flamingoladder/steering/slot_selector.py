"""Selects the best free slot for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.steering.candidates import TargetStats
from flamingoladder.steering.candidates import eligible_targets

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingoladder.steering.fair_queue import QueuedRequest
    from flamingoladder.steering.slot_table import HeldSlot
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.targets import DeclaredTarget

# Multiplies the cost of a target that reports itself as full.
FULL_TARGET_COST_FACTOR = 3.0
# How long a request that a shift moves waits for a slot of the receiving region.
SHIFT_WAIT_ROUND_TRIPS = 3.0


class SlotSelector:
    """Prefers this host's region, then targets with a low latency as measured by this host.

    The load that a target reports only matters if it is full: that raises its cost. ``ramp_s`` is
    the duration of a target's slow start, ``round_trip_s`` that of a round trip between regions.
    """

    __slots__ = ("_health_board", "_random", "_stats_by_target", "ramp_s", "region", "round_trip_s")

    def __init__(self, health_board: HealthBoard, region: str, random: Random) -> None:
        self._health_board = health_board
        self._random = random
        self._stats_by_target: dict[str, TargetStats] = {}
        self.region = region
        self.ramp_s = 0.0
        self.round_trip_s = 0.0

    def stats_of(self, target: str) -> TargetStats:
        """Return this host's statistics of the target."""
        return self._stats_by_target.setdefault(target, TargetStats())

    def select(
        self,
        free: Iterable[HeldSlot],
        targets: Iterable[DeclaredTarget],
        queued: QueuedRequest,
        local_wait_s: float,
        exhausted_regions: frozenset[str],
        now: float,
    ) -> tuple[HeldSlot, DeclaredTarget] | None:
        """Return the slot for ``queued``, or None if the request should wait.

        ``local_wait_s`` is the expected wait for a slot of this host's region. Another region is
        used only if the round trip to it is no longer than that wait or than the wait so far. A
        request that a shift moves waits ``SHIFT_WAIT_ROUND_TRIPS`` for a slot of the receiving
        region. No request goes to one of the ``exhausted_regions``.
        """
        allowed = {
            target.name: target
            for target in eligible_targets(targets, self._health_board, queued.tried, now)
        }
        deadline = queued.request.deadline
        usable = [
            (held, allowed[held.slot.target])
            for held in free
            if held.slot.target in allowed
            and allowed[held.slot.target].region not in exhausted_regions
            and held.is_free(deadline, now)
            and self._may_use(held, allowed[held.slot.target], now)
        ]
        if queued.shift_to_region is not None and queued.shift_to_region not in exhausted_regions:
            in_shift_region = [pair for pair in usable if pair[1].region == queued.shift_to_region]
            if in_shift_region:
                return min(in_shift_region, key=lambda pair: self._cost(*pair))
            if now - queued.queued_at < SHIFT_WAIT_ROUND_TRIPS * self.round_trip_s:
                return None
        local = [pair for pair in usable if pair[1].region == self.region]
        if not local and self._should_wait_locally(queued, local_wait_s, now):
            return None
        return min(local or usable, key=lambda pair: self._cost(*pair), default=None)

    def _may_use(self, held: HeldSlot, target: DeclaredTarget, now: float) -> bool:
        if self.stats_of(target.name).is_paused(now):
            return False
        # During slow start, all hosts use only the slots with the lowest indexes, so that together
        # they don't exceed the number that the target may use.
        return held.slot.index < self._health_board.of(target.name).usable_slots(
            target.slots, self.ramp_s, now
        )

    def _should_wait_locally(self, queued: QueuedRequest, local_wait_s: float, now: float) -> bool:
        return max(local_wait_s, now - queued.queued_at) < self.round_trip_s

    def _cost(self, held: HeldSlot, target: DeclaredTarget) -> tuple[float, bool, float]:
        stats = self.stats_of(target.name)
        cost = (stats.latency_s or 0.0) * (1 + stats.in_flight / target.slots)
        load = self._health_board.of(target.name).reported_load
        if load is not None and load >= 1:
            cost *= FULL_TARGET_COST_FACTOR
        # Borrowed slots come first, so that owned ones stay free for other hosts to borrow.
        return cost, held.lender is None, self._random.random()
