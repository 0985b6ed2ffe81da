"""The limit itself: an ideal central bucket, and an exact check of admissions against it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class IdealBucket:
    """One central token bucket, full at the start, asked at the moment of each arrival."""

    __slots__ = ("_at", "_burst", "_rate_per_s", "_tokens")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at = 0.0

    def admit(self, now: float) -> bool:
        """Spend a token, if there is one."""
        gained = (now - self._at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def largest_excess(times: Iterable[float], rate_per_s: float, burst: float) -> float:
    """Return the most by which admissions in any window exceed ``rate * length + burst``.

    It is at most 0 if the limit was kept. The fullest window that ends at an admission either
    starts with it, or extends the fullest one that ends at the admission before.
    """
    fullest = 0.0
    largest = -burst
    earlier = 0.0
    for at in sorted(times):
        fullest = max(0.0, fullest - (at - earlier) * rate_per_s) + 1
        largest = max(largest, fullest - burst)
        earlier = at
    return largest
