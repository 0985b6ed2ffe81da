"""The rate at which a queue drains."""

from __future__ import annotations

from math import expm1

from flamingoladder.admission.demand import DecayingCount

DRAIN_DECAY_S = 2.0
MIN_DRAINED = 4.0


class DrainRate:
    """How fast requests of one rank and standing are sent from the queue."""

    __slots__ = ("_count", "_since")

    def __init__(self, now: float) -> None:
        self._count = DecayingCount(now, DRAIN_DECAY_S)
        self._since = now

    def add(self, now: float) -> None:
        """Count a request that is sent."""
        if self._count.at(now) < MIN_DRAINED / 2:
            self._since = min(now, max(self._since, now - DRAIN_DECAY_S))
        self._count.add(now)

    def wait_s(self, ahead: int, now: float) -> float | None:
        """Return the expected wait behind so many requests, or None if too few were sent lately."""
        sent = self._count.at(now)
        if sent < MIN_DRAINED:
            return None
        counted_s = DRAIN_DECAY_S * -expm1((self._since - now) / DRAIN_DECAY_S)
        return ahead * counted_s / sent
