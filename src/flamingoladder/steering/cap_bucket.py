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

    __slots__ = ("_pending_from", "_pending_share", "_refilled_at", "share", "tokens")

    def __init__(self, now: float) -> None:
        self.share = NO_SHARE
        self.tokens = 0.0
        self._pending_share: CapShare | None = None
        self._pending_from = inf
        self._refilled_at = now

    def set_share(
        self, share: CapShare, effective_at: float, now: float, *, contiguous: bool
    ) -> None:
        """Own ``part`` from ``grow_at`` on, and until then what was owned of it before.

        Nothing is kept unless the division ``follows`` the one by which it was owned.
        """
        self.share = _minimum(self.share, share) if contiguous else NO_SHARE
        self._refill(now)
        self._pending_share = share
        self._pending_from = effective_at

    def set_effective_at(self, effective_at: float) -> None:
        """Set from when the whole part is owned, if it isn't yet."""
        if self._pending_share is not None:
            self._pending_from = effective_at

    def advance(self, now: float) -> None:
        """Refill up to ``now``; what has grown on the way starts empty."""
        if self._pending_share is not None and self._pending_from <= now:
            self._refill(max(self._pending_from, self._refilled_at))
            self.share = self._pending_share
            self._pending_share = None
        self._refill(now)

    def spend(self, now: float) -> bool:
        """Spend a token, if there is one."""
        self.advance(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self.share.rate_per_s
        self.tokens = min(self.tokens + gained, self.share.burst)
        self._refilled_at = max(self._refilled_at, now)


def _minimum(one: CapShare, other: CapShare) -> CapShare:
    return CapShare(min(one.burst, other.burst), min(one.rate_per_s, other.rate_per_s))
