"""Learns from run times how much faster a service's runs are for objects handled recently.

Requests were sent to the home of their object also at services where that gains nothing, so that
popular objects queued while other targets were free.
"""

from __future__ import annotations

from math import exp
from math import inf
from math import log
from math import sqrt

from flamingoladder.entry.costs import EVEN_RUN_COSTS
from flamingoladder.entry.costs import USUAL_RUN_COSTS
from flamingoladder.entry.costs import WARM_RUN_COST
from flamingoladder.entry.costs import RunCosts

# A sample counts for about this many later ones of its kind.
SAMPLES_REMEMBERED = 200
MIN_SAMPLES = 12
# How many standard errors a measured ratio must be away from what it is compared with.
CERTAINTY = 2.0
# The usual ratio holds unless the measured one certainly differs from it by this factor.
USUAL_WITHIN_FACTOR = 1.4
# Affinity ends where runs are certainly above the first ratio, and starts again below the second.
NO_GAIN_RATIO = 0.8
GAIN_RATIO = 0.7
MIN_RATIO = 0.02
MIN_RUN_S = 0.000_1


class _Samples:
    """Decaying mean and variance of the logarithms of durations."""

    __slots__ = ("_mean", "_square", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self._mean = 0.0
        self._square = 0.0

    def add(self, seconds: float) -> None:
        value = log(max(MIN_RUN_S, seconds))
        self.weight = self.weight * (1.0 - 1.0 / SAMPLES_REMEMBERED) + 1.0
        difference = value - self._mean
        self._mean += difference / self.weight
        change = difference * (value - self._mean) - self._square
        self._square += change / self.weight

    @property
    def mean(self) -> float:
        return self._mean

    @property
    def mean_variance(self) -> float:
        return self._square / max(1.0, self.weight - 1.0)


class WarmRatio:
    """The ratio of warm to cold runs of one service. Routes are compared each by itself."""

    __slots__ = ("_pays", "_run_costs", "_samples_by_kind")

    def __init__(self) -> None:
        self._samples_by_kind: dict[tuple[str, bool], _Samples] = {}
        self._pays = True
        self._run_costs = USUAL_RUN_COSTS

    def record(self, route: str, seconds: float, *, warm: bool) -> None:
        """Add the duration of a run that did not wait, in seconds at the usual pace."""
        samples = self._samples_by_kind.get((route, warm))
        if samples is None:
            samples = self._samples_by_kind[route, warm] = _Samples()
        samples.add(seconds)
        self._run_costs = self._new_costs()

    def run_costs(self) -> RunCosts:
        """Return the costs of runs: the usual ones unless the ratio certainly differs.

        They are ``EVEN_RUN_COSTS`` if affinity certainly gains next to nothing.
        """
        return self._run_costs

    def _new_costs(self) -> RunCosts:
        ratio, error = self._estimate()
        margin = CERTAINTY * error
        if ratio - margin > log(NO_GAIN_RATIO):
            self._pays = False
        elif ratio + margin < log(GAIN_RATIO):
            self._pays = True
        if not self._pays:
            return EVEN_RUN_COSTS
        if abs(ratio - log(WARM_RUN_COST)) - margin < log(USUAL_WITHIN_FACTOR):
            return USUAL_RUN_COSTS
        return RunCosts(min(NO_GAIN_RATIO, max(MIN_RATIO, exp(ratio))))

    def _estimate(self) -> tuple[float, float]:
        """Return the logarithm of the ratio and its standard error, over all routes."""
        precision, weighted = 0.0, 0.0
        for (route, is_warm), warm in self._samples_by_kind.items():
            cold = self._samples_by_kind.get((route, False))
            if not is_warm or cold is None or min(warm.weight, cold.weight) < MIN_SAMPLES:
                continue
            variance = max(1e-6, warm.mean_variance + cold.mean_variance)
            precision += 1.0 / variance
            weighted += (warm.mean - cold.mean) / variance
        if not precision:
            return log(WARM_RUN_COST), inf
        return weighted / precision, sqrt(1.0 / precision)
