"""Bounds how fast the part of a region's requests that go to other regions may grow."""

from __future__ import annotations

WINDOW_S = 2.0
MAX_STEP = 0.1
MIN_SENDS = 10


class OverflowCap:
    """Counts sends in windows; a window's part away is at most a step above the one before."""

    __slots__ = ("_max_part", "_sent", "_sent_cross_region", "_window_start")

    def __init__(self) -> None:
        self._window_start = 0.0
        self._sent = 0
        self._sent_cross_region = 0
        self._max_part = MAX_STEP

    def may_overflow(self, now: float) -> bool:
        """Return whether one more request may go to another region."""
        self._roll_window(now)
        return self._sent_cross_region + 1 <= self._max_part * max(self._sent + 1, MIN_SENDS)

    def record_send(self, now: float, *, cross_region: bool) -> None:
        """Count a send, ``away`` if it goes to another region."""
        self._roll_window(now)
        self._sent += 1
        self._sent_cross_region += cross_region

    def _roll_window(self, now: float) -> None:
        if now - self._window_start < WINDOW_S:
            return
        if self._sent >= MIN_SENDS:
            self._max_part = min(1.0, self._sent_cross_region / self._sent + MAX_STEP)
        self._window_start = now
        self._sent = self._sent_cross_region = 0
