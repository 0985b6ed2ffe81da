"""An estimate of the arrival rate of requests."""

from __future__ import annotations

from math import exp

# Time constant of the exponential moving average.
ARRIVAL_WINDOW_S = 3.0


class ArrivalRate:
    """The exponentially weighted arrival rate of one service at one host."""

    __slots__ = ("_per_s", "_updated_at")

    def __init__(self, now: float) -> None:
        self._per_s = 0.0
        self._updated_at = now

    def record_arrival(self, now: float) -> None:
        """Record one arrival."""
        self._per_s = self.per_s(now) + 1 / ARRIVAL_WINDOW_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the rate in arrivals per second."""
        return self._per_s * exp((self._updated_at - now) / ARRIVAL_WINDOW_S)
