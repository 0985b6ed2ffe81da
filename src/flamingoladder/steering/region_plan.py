"""Which fraction of a region's requests goes to which other region, ahead of need."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.hashing import HASH_RANGE
from flamingoladder.steering.overflow_cap import MAX_FRACTION_STEP
from flamingoladder.steering.overflow_cap import WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Mapping

# Regions fill their own slots to this part before requests leave them. The rest takes what the
# forecast misses.
FULL = 0.8
# The plan aims at the demand this far ahead, as reports and smoothing take some 3 s.
FORECAST_S = 3.0
TREND_SMOOTHING_S = 4.0
# A shift shrinks more slowly than it grows: demand that comes back within a minute then needs less
# growth than the limit allows.
SHRINK_PART = 0.35
# A shorter shift is left for later, so that noise in the reports moves no requests.
MIN_STEP = 0.02
# After a longer gap between updates, earlier figures say nothing of the trend.
MAX_GAP_S = 10.0


class _Trend:
    """A figure and how fast it changes."""

    __slots__ = ("_at", "_per_s", "_value")

    def __init__(self) -> None:
        self._at: float | None = None
        self._value = 0.0
        self._per_s = 0.0

    def forecast(self, value: float, now: float) -> float:
        """Take in the present value; return it or the one expected in ``FORECAST_S``, if larger.

        Demand that is about to fall is still there now.
        """
        elapsed_s = 0.0 if self._at is None else now - self._at
        if self._at is None or elapsed_s > MAX_GAP_S:
            self._per_s = 0.0
        elif elapsed_s > 0:
            slope = (value - self._value) / elapsed_s
            self._per_s += (slope - self._per_s) * min(1.0, elapsed_s / TREND_SMOOTHING_S)
        self._at, self._value = now, value
        return value + max(0.0, self._per_s * FORECAST_S)


class RegionPlan:
    """Splits the requests of one region and one service between the regions.

    Load: a wave of demand over the regions, out of phase, while most slots are in some of them.

    What is planned depends on the demand by the region of the callers, not on where requests run,
    so a shift does not change its own cause. All hosts of a region that get the same figures plan
    the same. The fraction that leaves the region grows by at most ``MAX_FRACTION_STEP`` in
    ``WINDOW_S``, and shrinks more slowly.
    """

    __slots__ = ("_own_region", "_trends_by_region", "_updated_at", "fractions_by_region")

    def __init__(self, own_region: str) -> None:
        self._own_region = own_region
        self._trends_by_region: dict[str, _Trend] = {}
        self._updated_at: float | None = None
        self.fractions_by_region: dict[str, float] = {}

    def update(
        self,
        demand_by_region: Mapping[str, float],
        slots_by_region: Mapping[str, float],
        now: float,
    ) -> None:
        """Take in the demand, in slots, and the slots of all regions of which they are known."""
        demand = {
            region: self._trends_by_region.setdefault(region, _Trend()).forecast(value, now)
            for region, value in sorted(demand_by_region.items())
        }
        if self._own_region not in demand:
            self.fractions_by_region = {}
            self._updated_at = None
            return
        slots = sum(slots_by_region.get(region, 0.0) for region in demand)
        level = max(FULL, sum(demand_by_region.values()) / slots) if slots > 0 else FULL
        wanted = planned_fractions(self._own_region, demand, slots_by_region, level)
        known = {of: part for of, part in self.fractions_by_region.items() if of in demand}
        self.fractions_by_region = self._step_towards(known, wanted, now)
        self._updated_at = now

    def preferred_region(self, request_hash: int) -> str:
        """Return the region for a request; ``request_hash`` is below ``HASH_RANGE``."""
        left = request_hash / HASH_RANGE
        for region, fraction in self.fractions_by_region.items():
            left -= fraction
            if left < 0:
                return region
        return self._own_region

    def _step_towards(
        self, known: dict[str, float], wanted: dict[str, float], now: float
    ) -> dict[str, float]:
        known_total, wanted_total = sum(known.values()), sum(wanted.values())
        total = known_total
        if abs(wanted_total - known_total) >= MIN_STEP or not wanted:
            elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
            step = MAX_FRACTION_STEP * min(1.0, elapsed_s / WINDOW_S)
            shrink = step * SHRINK_PART
            total = min(known_total + step, max(known_total - shrink, wanted_total))
        if total <= 0:
            return {}
        split, split_total = (wanted, wanted_total) if wanted else (known, known_total)
        return {region: total * part / split_total for region, part in split.items()}


def planned_fractions(
    own_region: str,
    demand_by_region: Mapping[str, float],
    slots_by_region: Mapping[str, float],
    level: float,
) -> dict[str, float]:
    """Return the fraction of the own region's requests that should go to each other region.

    Each region fills its slots to ``level`` with its own requests. What it has in excess goes to
    the others in proportion to their room.
    """
    regions = sorted(demand_by_region)
    slots = {region: slots_by_region.get(region, 0.0) for region in regions}
    demand = demand_by_region[own_region]
    if demand <= 0 or sum(slots.values()) <= 0:
        return {}
    room = {region: level * slots[region] - demand_by_region[region] for region in regions}
    excess = -room[own_region]
    free = {region: left for region, left in room.items() if left > 0}
    if excess <= 0 or not free:
        return {}
    moved = min(1.0, excess / demand)
    return {region: moved * left / sum(free.values()) for region, left in free.items()}
