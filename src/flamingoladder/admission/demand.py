"""Demand of workspaces over all hosts, by service and rank."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

DECAY_S = 5.0
# A host of a large fleet sees few requests of one workspace, so that the mix of all workspaces
# counts as much as this number of requests of its own.
MIX_REQUESTS = 4.0
MIN_COUNT = 0.01
PRUNE_SIZE = 4_096


class DecayingCount:
    """A count of events in which older events weigh less, by a time constant."""

    __slots__ = ("_count", "_decay_s", "_updated_at")

    def __init__(self, now: float, decay_s: float = DECAY_S) -> None:
        self._count = 0.0
        self._decay_s = decay_s
        self._updated_at = now

    def add(self, now: float) -> None:
        """Count an event."""
        self._count = self.at(now) + 1.0
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the count, decayed up to ``now``."""
        return self._count * exp(min(0.0, self._updated_at - now) / self._decay_s)

    def per_s(self, now: float) -> float:
        """Return the rate of the events in events per second."""
        return self.at(now) / self._decay_s


class DecayingCounts:
    """Decaying counts by key; a key without recent events is forgotten."""

    __slots__ = ("_counts_by_key",)

    def __init__(self) -> None:
        self._counts_by_key: dict[object, DecayingCount] = {}

    def add(self, key: object, now: float) -> None:
        """Count an event of a key."""
        count = self._counts_by_key.get(key)
        if count is None:
            if len(self._counts_by_key) >= PRUNE_SIZE:
                self._prune(now)
            count = self._counts_by_key[key] = DecayingCount(now)
        count.add(now)

    def at(self, key: object, now: float) -> float:
        """Return the count of a key."""
        count = self._counts_by_key.get(key)
        return 0.0 if count is None else count.at(now)

    def _prune(self, now: float) -> None:
        kept = {key: of for key, of in self._counts_by_key.items() if of.at(now) >= MIN_COUNT}
        # Keys without number within the time constant would otherwise be kept one and all.
        self._counts_by_key = kept if len(kept) < PRUNE_SIZE else {}


class DemandEstimate:
    """Estimates demand over all hosts from the hosts' reports and this host's own requests.

    Reports give a workspace's demand over all services and ranks. It is divided in the proportion
    that this host sees, which leans towards the mix of all workspaces while the host has seen few
    requests of that workspace. For a workspace that is not reported the host's own demand counts,
    once for each host.
    """

    __slots__ = ("_counts", "_host_count", "_reported_by_workspace", "_workspaces")

    def __init__(self) -> None:
        self._counts = DecayingCounts()
        self._workspaces: dict[str, float] = {}
        self._reported_by_workspace: Mapping[str, float] = {}
        self._host_count = 1

    def record(self, service: str, rank: int, workspace: str, now: float) -> None:
        """Count a request that arrived at this host."""
        counts = self._counts
        counts.add((service, rank, workspace), now)
        counts.add((service, rank), now)
        counts.add(workspace, now)
        counts.add(None, now)
        if len(self._workspaces) >= PRUNE_SIZE:
            self._workspaces.clear()
        self._workspaces[workspace] = now

    def set_reported(self, demand_by_workspace: Mapping[str, float], host_count: int) -> None:
        """Set the demand of all hosts in requests per second, and the number of hosts."""
        self._reported_by_workspace = demand_by_workspace
        self._host_count = host_count

    def of_rank(self, service: str, rank: int, now: float) -> dict[str, float]:
        """Return the demand in requests per second over all hosts, by workspace."""
        counts = self._counts
        mix = counts.at((service, rank), now) / max(1.0, counts.at(None, now))
        demand_by_workspace = {}
        for workspace in self._workspaces.keys() | self._reported_by_workspace.keys():
            own = counts.at(workspace, now)
            in_rank = counts.at((service, rank, workspace), now)
            demand = self._reported_by_workspace.get(workspace)
            if demand is None:
                demand = own / DECAY_S * self._host_count
            fraction = (in_rank + MIX_REQUESTS * mix) / (own + MIX_REQUESTS)
            demand_by_workspace[workspace] = demand * min(1.0, fraction)
        return demand_by_workspace
