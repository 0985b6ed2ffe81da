"""Limits how fast the fraction of requests that go to other regions may grow."""

from __future__ import annotations

WINDOW_S = 2.0
# Largest growth of the cross-region fraction from one window to the next. Without a limit, 40 in
# 100 requests of a region with few targets changed their region within 2 s.
MAX_FRACTION_STEP = 0.1
# A window with fewer sends does not change the limit.
MIN_SENDS = 10


class OverflowCap:
    """Limits the cross-region fraction of a window to the last window's plus a fixed step."""

    __slots__ = (
        "_is_measured",
        "_max_cross_region_fraction",
        "_sent",
        "_sent_cross_region",
        "_window_start",
    )

    def __init__(self) -> None:
        self._window_start = 0.0
        self._is_measured = False
        self._sent = 0
        self._sent_cross_region = 0
        self._max_cross_region_fraction = MAX_FRACTION_STEP

    def may_overflow(self, now: float) -> bool:
        """Return whether one more request may be sent to another region."""
        self._roll_window(now)
        return self._sent_cross_region + 1 <= self._max_cross_region_fraction * max(
            self._sent + 1, MIN_SENDS
        )

    def may_follow_homes(self, now: float) -> bool:
        """Return whether one more request may be sent to its home in another region.

        Before the first window is over there is nothing that it could differ from.
        """
        return self.may_overflow(now) or not self._is_measured

    def record_send(self, now: float, *, cross_region: bool) -> None:
        """Record a send; ``cross_region`` if it goes to another region."""
        self._roll_window(now)
        self._sent += 1
        self._sent_cross_region += cross_region

    def _roll_window(self, now: float) -> None:
        if now - self._window_start < WINDOW_S:
            return
        if self._sent >= MIN_SENDS:
            self._is_measured = True
            self._max_cross_region_fraction = min(
                1.0, self._sent_cross_region / self._sent + MAX_FRACTION_STEP
            )
        self._window_start = now
        self._sent = self._sent_cross_region = 0
