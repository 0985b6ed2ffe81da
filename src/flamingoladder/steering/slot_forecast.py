"""A forecast of the slots that a host needs, from arrival rate and request duration."""

from __future__ import annotations

from math import ceil
from math import sqrt

from flamingoladder.steering.arrival_rate import ArrivalRate

INITIAL_DURATION_S = 0.05
DURATION_EWMA_WEIGHT = 0.05
# The number of busy slots is taken as Poisson-distributed: its variance is its mean.
MARGIN_STANDARD_DEVIATIONS = 1.5


class SlotForecast:
    """The forecast of one service at one host; ``duration_s`` is a moving average."""

    __slots__ = ("_arrival_rate", "duration_s")

    def __init__(self, now: float) -> None:
        self._arrival_rate = ArrivalRate(now)
        self.duration_s = INITIAL_DURATION_S

    def record_arrival(self, now: float) -> None:
        """Record the arrival of a request."""
        self._arrival_rate.record_arrival(now)

    def record_duration(self, seconds: float) -> None:
        """Add the time that a request held its slot to the moving average."""
        self.duration_s += DURATION_EWMA_WEIGHT * (seconds - self.duration_s)

    def mean_slots(self, now: float) -> float:
        """Return the mean number of busy slots, by Little's law."""
        return self._arrival_rate.per_s(now) * self.duration_s

    def needed_slots(self, now: float) -> int:
        """Return the mean number of busy slots plus a margin, rounded up."""
        mean = self.mean_slots(now)
        return ceil(mean + MARGIN_STANDARD_DEVIATIONS * sqrt(mean))
