"""Bounds how fast the part of a region's requests that go to other regions may grow."""

from __future__ import annotations

WINDOW_S = 2.0
MAX_STEP = 0.1
MIN_SENDS = 10


class OverflowCap:
    """Counts sends in windows; a window's part away is at most a step above the one before."""

    __slots__ = ("_away", "_limit", "_sent", "_started")

    def __init__(self) -> None:
        self._started = 0.0
        self._sent = 0
        self._away = 0
        self._limit = MAX_STEP

    def may_overflow(self, now: float) -> bool:
        """Return whether one more request may go to another region."""
        self._roll(now)
        return self._away + 1 <= self._limit * max(self._sent + 1, MIN_SENDS)

    def record_send(self, now: float, *, cross_region: bool) -> None:
        """Count a send, ``away`` if it goes to another region."""
        self._roll(now)
        self._sent += 1
        self._away += cross_region

    def _roll(self, now: float) -> None:
        if now - self._started < WINDOW_S:
            return
        if self._sent >= MIN_SENDS:
            self._limit = min(1.0, self._away / self._sent + MAX_STEP)
        self._started = now
        self._sent = self._away = 0
