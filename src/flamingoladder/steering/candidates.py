"""Filters the targets that may take new requests, and keeps this host's statistics of each."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.targets import DeclaredTarget

LATENCY_EWMA_WEIGHT = 0.2
# A target gets no request from this host for so long after it shed one.
SHED_PAUSE_S = 0.25


def eligible_targets(
    targets: Iterable[DeclaredTarget], health_board: HealthBoard, tried: Collection[str], now: float
) -> list[DeclaredTarget]:
    """Return the targets that may take new requests at ``now`` (monotonic seconds)."""
    usable = []
    healthy = []
    for target in targets:
        health = health_board.of(target.name)
        if target.drained or target.name in tried or not health.takes_work(now):
            continue
        usable.append(target)
        if health.seems_well(now):
            healthy.append(target)
    # If all health checks fail, the checks are more likely wrong than all targets down.
    return healthy or usable


def rest_s(
    targets: Iterable[DeclaredTarget], health_board: HealthBoard, tried: Collection[str], now: float
) -> float:
    """Return the seconds until a target wants requests: 0 if one does, infinite if all leave."""
    return min(
        (
            inf if target.drained else health_board.of(target.name).rest_s(now)
            for target in targets
            if target.name not in tried
        ),
        default=inf,
    )


class TargetStats:
    """This host's statistics of one target: in-flight requests, latency, last shed request."""

    __slots__ = ("in_flight", "latency_s", "shed_at")

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s: float | None = None
        self.shed_at = float("-inf")

    def record_latency(self, seconds: float) -> None:
        """Add the duration of an answered request to the moving average."""
        if self.latency_s is None:
            self.latency_s = seconds
        self.latency_s += LATENCY_EWMA_WEIGHT * (seconds - self.latency_s)

    def is_paused(self, now: float) -> bool:
        """Return whether the target shed a request in the last ``SHED_PAUSE_S``."""
        return now - self.shed_at < SHED_PAUSE_S
