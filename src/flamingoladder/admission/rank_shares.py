"""Max-min fair shares of workspaces in one rank of a service, over all hosts."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from flamingoladder.admission.demand import PRUNE_SIZE
from flamingoladder.admission.demand import DecayingCount
from flamingoladder.admission.standing import Standing

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.admission.demand import Demand

# The served fraction of fewer requests than this says little; a host of a large fleet needs the
# longer time for so many.
MIN_ARRIVALS = 8.0
SERVED_DECAYS_S = (2.0, 8.0)
SCARCE_FRACTION = 0.97
# A workspace that would get this much more than its fair share brings the shares into force.
UNEVEN_RATIO = 1.25
# What is left of the capacity serves requests over the share, and drains the targets' queues.
SHARED_CAPACITY = 0.95
UPDATE_INTERVAL_S = 0.5
IN_FORCE_S = 2.0


def water_level(demands: Collection[float], capacity: float) -> float:
    """Return the largest share of one, where each gets its demand or the share if that is less."""
    left = capacity
    waiting = len(demands)
    for demand in sorted(demands):
        if demand * waiting > left:
            return left / waiting
        left -= demand
        waiting -= 1
    return inf


class ServedFraction:
    """The fraction of recent arrivals that ended at a target, over the shorter time if it can."""

    __slots__ = ("_counts",)

    def __init__(self, now: float) -> None:
        self._counts = [
            (DecayingCount(now, decay_s), DecayingCount(now, decay_s))
            for decay_s in SERVED_DECAYS_S
        ]

    def record_arrival(self, now: float) -> None:
        """Count a request that arrived."""
        for arrived, _ in self._counts:
            arrived.add(now)

    def record_end(self, now: float) -> None:
        """Count a request that ended at a target."""
        for _, ended in self._counts:
            ended.add(now)

    def at(self, now: float) -> float:
        """Return the fraction, 1 with too few arrivals."""
        for arrived, ended in self._counts:
            count = arrived.at(now)
            if count >= MIN_ARRIVALS:
                return min(1.0, ended.at(now) / count)
        return 1.0


class RankShares:
    """Marks which requests of each workspace are within its fair share of a rank.

    Load: a workspace with 8 times its usual demand, while targets are busy. The capacity for the
    rank over all hosts is the demand of all hosts times the fraction of the arrivals that ended at
    a target here. Each host marks the same fraction of a workspace's requests as within the share,
    so that hosts that see a workspace once in several seconds keep to it too.
    """

    __slots__ = (
        "_credit_by_workspace",
        "_in_share_by_workspace",
        "_served",
        "_updated_at",
    )

    def __init__(self, now: float) -> None:
        self._served = ServedFraction(now)
        self._credit_by_workspace: dict[str, float] = {}
        self._in_share_by_workspace: dict[str, float] = {}
        self._updated_at = -inf

    def record_end(self, now: float) -> None:
        """Count a request of the rank that ended at a target."""
        self._served.record_end(now)

    def is_due(self, now: float) -> bool:
        """Return whether the shares are to be computed anew."""
        return now - self._updated_at >= UPDATE_INTERVAL_S

    def update(self, demand_by_workspace: Mapping[str, Demand], now: float) -> None:
        """Compute the fraction of each workspace's requests that is within its share."""
        self._updated_at = now
        served = self._served.at(now)
        demands = [demand.per_s for demand in demand_by_workspace.values()]
        level = water_level(demands, served * sum(demands))
        # The noise of even demand must not bring the shares into force.
        uneven = any(
            demand.most_per_s <= level or served * demand.least_per_s > UNEVEN_RATIO * level
            for demand in demand_by_workspace.values()
            if demand.per_s > 0
        )
        self._in_share_by_workspace = {}
        if served >= SCARCE_FRACTION or not uneven:
            return
        level = water_level(demands, SHARED_CAPACITY * served * sum(demands))
        self._in_share_by_workspace = {
            workspace: level / demand.per_s
            for workspace, demand in demand_by_workspace.items()
            if demand.per_s > level
        }

    def take(self, workspace: str, now: float) -> Standing:
        """Count an arrival, and return its standing by the workspace's share."""
        self._served.record_arrival(now)
        if not self._in_share_by_workspace or now - self._updated_at > IN_FORCE_S:
            return Standing.UNDER_SHARE
        fraction = self._in_share_by_workspace.get(workspace)
        if fraction is None:
            return Standing.UNDER_SHARE
        if len(self._credit_by_workspace) >= PRUNE_SIZE:
            self._credit_by_workspace.clear()
        credit = self._credit_by_workspace.get(workspace, 0.5) + fraction
        within = credit >= 1.0
        self._credit_by_workspace[workspace] = credit - within
        return Standing.IN_SHARE if within else Standing.OVER_SHARE
