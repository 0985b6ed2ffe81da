"""Holds each workspace to its rate and burst over all hosts.

Each host admits the part of the rate that its part of the demand asks for. The demand of the others
comes with their reports; a host that is not heard keeps an even part of the rate reserved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.routing.model import Workspace

DEMAND_TIME_S = 1.5
DEMAND_FLOOR_PER_S = 0.3
EXTRA_UNITS = 14.0
EXTRA_RATE = 1.05
MIN_DEMAND_PER_S = 0.01


class RateRefusal(msgspec.Struct, frozen=True):
    """Why a request is over the limit: this host's ``share`` of the rate, and what led to it.

    ``wait_s`` is the time until there is a unit; ``heard`` counts the other hosts whose demand
    went into the share.
    """

    workspace: str
    wait_s: float
    share: float
    rate_per_s: float
    demand_per_s: float
    heard: int

    def __str__(self) -> str:
        """Return the figures for a log line."""
        return (
            f"{self.workspace}: share {self.share:.3f}, {self.rate_per_s:.2f}/s here, "
            f"demand {self.demand_per_s:.2f}/s here, {self.heard} hosts heard"
        )


class Bucket:
    """What one host may admit of one workspace; ``level`` is in requests."""

    __slots__ = ("at", "demand_per_s", "level")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.at = now
        self.demand_per_s = 0.0

    def decay(self, now: float) -> None:
        """Let the measured demand fade up to ``now``."""
        elapsed = max(0.0, now - self.at)
        self.demand_per_s *= max(0.0, 1 - elapsed / DEMAND_TIME_S)


class FleetRates:
    """The buckets of this host."""

    __slots__ = ("_buckets_by_workspace", "_demand_by_host", "_full", "_hosts")

    def __init__(self, *, start_full: bool) -> None:
        self._buckets_by_workspace: dict[str, Bucket] = {}
        self._demand_by_host: dict[str, Mapping[str, float]] = {}
        self._hosts = 1
        self._full = start_full

    def update(
        self, hosts: int, demand_by_host: Mapping[str, Mapping[str, float]], now: float
    ) -> None:
        """Take in the number of hosts, and the demand per second at each other one heard."""
        if hosts < self._hosts:
            self._full = False
        self._hosts = max(1, hosts)
        self._demand_by_host = dict(demand_by_host)

    def demand(self, now: float) -> dict[str, float]:
        """Return the measured demand per second of each workspace at this host."""
        found = {}
        for name, bucket in self._buckets_by_workspace.items():
            elapsed = now - bucket.at
            rate = bucket.demand_per_s * max(0.0, 1 - elapsed / DEMAND_TIME_S)
            if rate >= MIN_DEMAND_PER_S:
                found[name] = round(rate, 2)
        return found

    def admit(self, workspace: Workspace, now: float) -> RateRefusal | None:
        """Take one unit and return None, or return why there is none."""
        if workspace.rate_per_s <= 0:
            return None
        bucket = self._bucket(workspace, now)
        share = self._share(workspace.name, bucket.demand_per_s)
        rate = workspace.rate_per_s * EXTRA_RATE * share
        self._refill(bucket, workspace, share, rate, now)
        bucket.demand_per_s += 1 / DEMAND_TIME_S
        if bucket.level >= 1:
            bucket.level -= 1
            return None
        wait_s = (1 - bucket.level) / rate if rate > 0 else DEMAND_TIME_S
        heard = len(self._demand_by_host)
        return RateRefusal(workspace.name, wait_s, share, rate, bucket.demand_per_s, heard)

    def keep_only(self, workspaces: Collection[str]) -> None:
        """Forget workspaces that are no longer configured."""
        for name in self._buckets_by_workspace.keys() - set(workspaces):
            del self._buckets_by_workspace[name]

    def _bucket(self, workspace: Workspace, now: float) -> Bucket:
        bucket = self._buckets_by_workspace.get(workspace.name)
        if bucket is None:
            level = self._cap(workspace, 1 / self._hosts) if self._full else 1.0
            bucket = self._buckets_by_workspace[workspace.name] = Bucket(level, now)
        return bucket

    def _refill(
        self, bucket: Bucket, workspace: Workspace, share: float, rate: float, now: float
    ) -> None:
        elapsed = max(0.0, now - bucket.at)
        bucket.level = min(self._cap(workspace, share), bucket.level + elapsed * rate)
        bucket.decay(now)
        bucket.at = now

    def _cap(self, workspace: Workspace, share: float) -> float:
        return max(1.0, workspace.burst * share + EXTRA_UNITS / self._hosts)

    def _share(self, workspace: str, own_demand: float) -> float:
        heard = len(self._demand_by_host)
        silent = max(0, self._hosts - 1 - heard)
        others = sum(
            demand.get(workspace, 0.0) + DEMAND_FLOOR_PER_S
            for demand in self._demand_by_host.values()
        )
        own = own_demand + DEMAND_FLOOR_PER_S
        return (1 - silent / self._hosts) * own / (own + others)
