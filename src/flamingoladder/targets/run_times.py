"""Typical duration of runs, by service and route."""

from __future__ import annotations

from collections import deque
from statistics import quantiles
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

RUNS_KEPT = 32
MIN_RUNS = 8
QUARTILES = 4


class RunTimes:
    """Durations of the latest runs that did not wait for a slot, by service and route.

    They include first runs for an object, which take several times as long as later ones. So the
    lower quartile is used as the duration of a run at the object's home.
    """

    __slots__ = ("_runs_by_kind", "_typical_s_by_kind")

    def __init__(self) -> None:
        self._runs_by_kind: dict[tuple[str, str], deque[float]] = {}
        self._typical_s_by_kind: dict[tuple[str, str], float | None] = {}

    def record(self, service: str, route: str, seconds: float) -> None:
        """Add the duration of a successful run."""
        key = (service, route)
        runs = self._runs_by_kind.get(key)
        if runs is None:
            runs = self._runs_by_kind[key] = deque(maxlen=RUNS_KEPT)
        runs.append(seconds)
        self._typical_s_by_kind.pop(key, None)

    def typical_s(self, service: str, route: str) -> float | None:
        """Return the typical duration of a run in seconds, or None with too few runs recorded."""
        key = (service, route)
        if key not in self._typical_s_by_kind:
            self._typical_s_by_kind[key] = _lower_quartile(self._runs_by_kind.get(key, ()))
        return self._typical_s_by_kind[key]


def _lower_quartile(runs: Collection[float]) -> float | None:
    if len(runs) < MIN_RUNS:
        return None
    lower, *_ = quantiles(runs, n=QUARTILES)
    return lower
