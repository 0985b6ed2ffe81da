"""Max-min fair shares of workspaces in one rank of a service, over all hosts."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from flamingoladder.admission.demand import PRUNE_SIZE
from flamingoladder.admission.demand import DecayingCount

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

# The served fraction of fewer requests than this says little.
MIN_ARRIVALS = 8.0
SCARCE_FRACTION = 0.97
# Shares are in force once a workspace would get this much more than its fair share without them.
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


class RankShares:
    """Marks which requests of each workspace are within its fair share of a rank.

    Load: a workspace with 8 times its usual demand, while targets are busy. The capacity for the
    rank over all hosts is the demand of all hosts times the fraction of the arrivals that ended at
    a target here. Each host marks the same fraction of a workspace's requests as within the share,
    so that hosts that see a workspace once in several seconds keep to it too.
    """

    __slots__ = (
        "_arrived",
        "_credit_by_workspace",
        "_ended",
        "_in_share_by_workspace",
        "_updated_at",
    )

    def __init__(self, now: float) -> None:
        self._arrived = DecayingCount(now)
        self._ended = DecayingCount(now)
        self._credit_by_workspace: dict[str, float] = {}
        self._in_share_by_workspace: dict[str, float] = {}
        self._updated_at = -inf

    def record_end(self, now: float) -> None:
        """Count a request of the rank that ended at a target."""
        self._ended.add(now)

    def is_due(self, now: float) -> bool:
        """Return whether the shares are to be computed anew."""
        return now - self._updated_at >= UPDATE_INTERVAL_S

    def update(self, demand_by_workspace: Mapping[str, float], now: float) -> None:
        """Compute the fraction of each workspace's requests that is within its share."""
        self._updated_at = now
        served = self._served_fraction(now)
        demands = demand_by_workspace.values()
        level = water_level(demands, served * sum(demands))
        uneven = any(served * demand > UNEVEN_RATIO * level for demand in demands)
        self._in_share_by_workspace = {}
        if served >= SCARCE_FRACTION or not uneven:
            return
        level = water_level(demands, SHARED_CAPACITY * served * sum(demands))
        self._in_share_by_workspace = {
            workspace: level / demand
            for workspace, demand in demand_by_workspace.items()
            if demand > level
        }

    def take(self, workspace: str, now: float) -> bool:
        """Count an arrival, and return whether it is within the workspace's share."""
        self._arrived.add(now)
        if not self._in_share_by_workspace or now - self._updated_at > IN_FORCE_S:
            return True
        fraction = self._in_share_by_workspace.get(workspace)
        if fraction is None:
            return True
        if len(self._credit_by_workspace) >= PRUNE_SIZE:
            self._credit_by_workspace.clear()
        credit = self._credit_by_workspace.get(workspace, 0.5) + fraction
        within = credit >= 1.0
        self._credit_by_workspace[workspace] = credit - within
        return within

    def _served_fraction(self, now: float) -> float:
        arrived = self._arrived.at(now)
        return 1.0 if arrived < MIN_ARRIVALS else min(1.0, self._ended.at(now) / arrived)
