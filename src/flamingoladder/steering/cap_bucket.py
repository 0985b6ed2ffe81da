"""One host's part of a cap, which can change hands between hosts.

The parts of all hosts add up to the cap at any moment, and so does every window of time: a part
that shrinks does so at once, and one that grows does so when no earlier owner can spend it.
"""

from __future__ import annotations

from math import inf

import msgspec


class CapShare(msgspec.Struct, frozen=True):
    """A part of a cap: requests at once, and requests per second."""

    burst: float
    rate_per_s: float


NO_SHARE = CapShare(0.0, 0.0)


class CapBucket:
    """A token bucket of the part that this host may spend; times are monotonic seconds."""

    __slots__ = ("_at", "_grow_at", "_grown", "part", "tokens")

    def __init__(self, now: float) -> None:
        self.part = NO_SHARE
        self.tokens = 0.0
        self._grown: CapShare | None = None
        self._grow_at = inf
        self._at = now

    def divide(self, part: CapShare, grow_at: float, now: float, *, follows: bool) -> None:
        """Own ``part`` from ``grow_at`` on, and until then what was owned of it before.

        Nothing is kept unless the division ``follows`` the one by which it was owned.
        """
        self.part = _smaller(self.part, part) if follows else NO_SHARE
        self._refill(now)
        self._grown = part
        self._grow_at = grow_at

    def grow_from(self, grow_at: float) -> None:
        """Set from when the whole part is owned, if it isn't yet."""
        if self._grown is not None:
            self._grow_at = grow_at

    def advance(self, now: float) -> None:
        """Refill up to ``now``; what has grown on the way starts empty."""
        if self._grown is not None and self._grow_at <= now:
            self._refill(max(self._grow_at, self._at))
            self.part = self._grown
            self._grown = None
        self._refill(now)

    def spend(self, now: float) -> bool:
        """Spend a token, if there is one."""
        self.advance(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self.part.rate_per_s
        self.tokens = min(self.tokens + gained, self.part.burst)
        self._at = max(self._at, now)


def _smaller(one: CapShare, other: CapShare) -> CapShare:
    return CapShare(min(one.burst, other.burst), min(one.rate_per_s, other.rate_per_s))
