"""Counts load reports that can't be read whole, for a log line of bounded volume."""

from __future__ import annotations

from math import inf

LOG_INTERVAL_S = 1.0


class LoadFaults:
    """Unreadable figures of all targets since the last log line."""

    __slots__ = ("_figures", "_logged_at")

    def __init__(self) -> None:
        self._figures = 0
        self._logged_at = -inf

    def count(self, figures: int, now: float) -> int:
        """Add unreadable figures; return how many to log now, or 0 if a line was just logged."""
        self._figures += figures
        if now - self._logged_at < LOG_INTERVAL_S:
            return 0
        counted, self._figures, self._logged_at = self._figures, 0, now
        return counted
