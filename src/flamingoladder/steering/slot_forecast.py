"""How many slots of a service a host needs, by its arrivals and how long requests take."""

from __future__ import annotations

from math import ceil
from math import sqrt

from flamingoladder.steering.arrival_rate import ArrivalRate

INITIAL_DURATION_S = 0.05
DURATION_EWMA_WEIGHT = 0.05
MARGIN_STANDARD_DEVIATIONS = 1.5


class SlotForecast:
    """The forecast of one service at one host."""

    __slots__ = ("_arrival_rate", "duration_s")

    def __init__(self, now: float) -> None:
        self._arrival_rate = ArrivalRate(now)
        self.duration_s = INITIAL_DURATION_S

    def record_arrival(self, now: float) -> None:
        """Count a request."""
        self._arrival_rate.record_arrival(now)

    def record_duration(self, seconds: float) -> None:
        """Take in how long a request held its slot."""
        self.duration_s += DURATION_EWMA_WEIGHT * (seconds - self.duration_s)

    def mean_slots(self, now: float) -> float:
        """Return how many slots the arrivals use on average."""
        return self._arrival_rate.per_s(now) * self.duration_s

    def needed_slots(self, now: float) -> int:
        """Return how many slots the arrivals use at most times."""
        mean = self.mean_slots(now)
        return ceil(mean + MARGIN_STANDARD_DEVIATIONS * sqrt(mean))
