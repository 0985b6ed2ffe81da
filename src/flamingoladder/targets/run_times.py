"""How long runs take, learned from answers."""

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

    Among them are first runs for an object, which take several times as long as the others; so the
    lower quartile stands for a run at an object's home.
    """

    __slots__ = ("_runs_by_kind", "_usual_s_by_kind")

    def __init__(self) -> None:
        self._runs_by_kind: dict[tuple[str, str], deque[float]] = {}
        self._usual_s_by_kind: dict[tuple[str, str], float | None] = {}

    def record(self, service: str, route: str, seconds: float) -> None:
        """Count a run that was answered well."""
        kind = (service, route)
        runs = self._runs_by_kind.get(kind)
        if runs is None:
            runs = self._runs_by_kind[kind] = deque(maxlen=RUNS_KEPT)
        runs.append(seconds)
        self._usual_s_by_kind.pop(kind, None)

    def typical_s(self, service: str, route: str) -> float | None:
        """Return what a run takes, in seconds, or None if too few were seen."""
        kind = (service, route)
        if kind not in self._usual_s_by_kind:
            self._usual_s_by_kind[kind] = _lower_quartile(self._runs_by_kind.get(kind, ()))
        return self._usual_s_by_kind[kind]


def _lower_quartile(runs: Collection[float]) -> float | None:
    if len(runs) < MIN_RUNS:
        return None
    lower, *_ = quantiles(runs, n=QUARTILES)
    return lower
