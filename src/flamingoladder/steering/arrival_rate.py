"""An estimate of the rate of arrivals."""

from __future__ import annotations

from math import exp

DEMAND_WINDOW_S = 3.0


class ArrivalRate:
    """The exponentially weighted rate of arrivals of one service at one host."""

    __slots__ = ("_at", "_per_s")

    def __init__(self, now: float) -> None:
        self._per_s = 0.0
        self._at = now

    def arrive(self, now: float) -> None:
        """Count one arrival."""
        self._per_s = self.per_s(now) + 1 / DEMAND_WINDOW_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the rate in arrivals per second."""
        return self._per_s * exp((self._at - now) / DEMAND_WINDOW_S)
