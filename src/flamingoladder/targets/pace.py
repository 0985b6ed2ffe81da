"""How long work takes on a target's machine now, averaged from its reports."""

from __future__ import annotations

from math import exp

USUAL_PACE_PERCENT = 100.0
# A report outside these bounds counts as the nearest one, so that no single target draws or loses
# all requests by its pace.
MIN_PACE_PERCENT = 20.0
MAX_PACE_PERCENT = 1_000.0
# The pace changes many times a second and a run takes about half a second or more, so the average
# over that time says more of the next run than the latest report.
AVERAGING_TIME_S = 0.5
PACE_LIFETIME_S = 2.0


class PaceAverage:
    """The average of a target's reported paces; times are monotonic seconds.

    A single fast or slow moment does not redirect requests, and once no report has come for
    ``PACE_LIFETIME_S`` the pace counts as usual.
    """

    __slots__ = ("_average", "_reports", "_updated_at")

    def __init__(self) -> None:
        self._average = USUAL_PACE_PERCENT
        self._reports = 0
        self._updated_at = 0.0

    def add(self, percent: float, now: float) -> None:
        """Take in a reported pace in percent of the usual duration."""
        if self._is_expired(now):
            self._reports = 0
        self._reports += 1
        bounded = min(MAX_PACE_PERCENT, max(MIN_PACE_PERCENT, percent))
        by_age = 1.0 - exp(-max(0.0, now - self._updated_at) / AVERAGING_TIME_S)
        weight = max(by_age, 1.0 / self._reports) if self._reports > 1 else 1.0
        self._average += weight * (bounded - self._average)
        self._updated_at = now

    def factor(self, now: float) -> float:
        """Return the expected duration of work in units of the usual duration."""
        return 1.0 if self._is_expired(now) else self._average / USUAL_PACE_PERCENT

    def _is_expired(self, now: float) -> bool:
        return not self._reports or now - self._updated_at > PACE_LIFETIME_S
