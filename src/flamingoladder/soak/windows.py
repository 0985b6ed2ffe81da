"""Counts of events in sliding windows of time."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def most_in_window(times: Iterable[float], window_s: float) -> int:
    """Return the largest number of times that lie within some window."""
    ordered = sorted(times)
    return max(
        (bisect_left(ordered, start + window_s) - number for number, start in enumerate(ordered)),
        default=0,
    )
