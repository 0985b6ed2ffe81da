"""Demand of workspaces over all hosts, by service and rank."""

from __future__ import annotations

from math import exp
from math import sqrt
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.limits.token_buckets import DEMAND_DECAY_S

if TYPE_CHECKING:
    from collections.abc import Mapping

DECAY_S = 2.0
# A host of a large fleet sees few requests of one workspace, so that the mix of all workspaces
# counts as much as this number of requests of its own.
MIX_REQUESTS = 4.0
MIN_COUNT = 0.01
DEVIATIONS = 3.0
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


class Demand(msgspec.Struct, frozen=True):
    """A workspace's demand in requests per second, estimated from about ``counted`` requests."""

    per_s: float
    counted: float

    @property
    def least_per_s(self) -> float:
        """Return a demand that the real one is hardly below."""
        return self.per_s * max(0.0, 1.0 - self._deviation)

    @property
    def most_per_s(self) -> float:
        """Return a demand that the real one is hardly above."""
        return self.per_s * (1.0 + self._deviation)

    @property
    def _deviation(self) -> float:
        return DEVIATIONS / sqrt(max(self.counted, MIN_COUNT))


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

    def of_rank(self, service: str, rank: int, now: float) -> dict[str, Demand]:
        """Return the demand over all hosts, by workspace."""
        mix = self._counts.at((service, rank), now) / max(1.0, self._counts.at(None, now))
        return {
            workspace: self._of_workspace(service, rank, workspace, mix, now)
            for workspace in self._workspaces.keys() | self._reported_by_workspace.keys()
        }

    def _of_workspace(
        self, service: str, rank: int, workspace: str, mix: float, now: float
    ) -> Demand:
        own = self._counts.at(workspace, now)
        in_rank = self._counts.at((service, rank, workspace), now)
        fraction = min(1.0, (in_rank + MIX_REQUESTS * mix) / (own + MIX_REQUESTS))
        reported_per_s = self._reported_by_workspace.get(workspace)
        if reported_per_s is None:
            return Demand(own / DECAY_S * self._host_count * fraction, own * fraction)
        return Demand(reported_per_s * fraction, reported_per_s * DEMAND_DECAY_S * fraction)
