"""How many slots of a service a host needs, by its arrivals and how long requests take."""

from __future__ import annotations

from math import ceil
from math import sqrt

from flamingoladder.steering.arrival_rate import ArrivalRate

FIRST_DURATION_S = 0.05
DURATION_SMOOTHING = 0.05
MARGIN_DEVIATIONS = 1.5


class SlotForecast:
    """The forecast of one service at one host."""

    __slots__ = ("_demand", "duration_s")

    def __init__(self, now: float) -> None:
        self._demand = ArrivalRate(now)
        self.duration_s = FIRST_DURATION_S

    def arrive(self, now: float) -> None:
        """Count a request."""
        self._demand.arrive(now)

    def ended(self, seconds: float) -> None:
        """Take in how long a request held its slot."""
        self.duration_s += DURATION_SMOOTHING * (seconds - self.duration_s)

    def mean_slots(self, now: float) -> float:
        """Return how many slots the arrivals use on average."""
        return self._demand.per_s(now) * self.duration_s

    def slots(self, now: float) -> int:
        """Return how many slots the arrivals use at most times."""
        mean = self.mean_slots(now)
        return ceil(mean + MARGIN_DEVIATIONS * sqrt(mean))
