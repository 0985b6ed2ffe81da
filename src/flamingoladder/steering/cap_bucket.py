"""A token bucket for one host's share of a rate cap, which can be reassigned between hosts.

The shares of all hosts never add up to more than the cap, at any moment and over any window of
time: a share shrinks at once, and grows only when no earlier owner can spend the difference.
"""

from __future__ import annotations

from math import inf

import msgspec


class CapShare(msgspec.Struct, frozen=True):
    """A share of a cap: burst in requests, and rate in requests per second."""

    burst: float
    rate_per_s: float


NO_SHARE = CapShare(0.0, 0.0)


class CapBucket:
    """A token bucket of the share that this host may spend; times are monotonic seconds."""

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
        """Set the share that holds from ``effective_at`` on.

        Until then the smaller of the old and the new share holds, or no share at all unless the
        new division is ``contiguous``, that is, no division in between was skipped.
        """
        self.share = _minimum(self.share, share) if contiguous else NO_SHARE
        self._refill(now)
        self._pending_share = share
        self._pending_from = effective_at

    def set_effective_at(self, effective_at: float) -> None:
        """Change when a pending share takes effect, if there is one."""
        if self._pending_share is not None:
            self._pending_from = effective_at

    def advance(self, now: float) -> None:
        """Refill up to ``now``; the growth of a share that takes effect starts without tokens."""
        if self._pending_share is not None and self._pending_from <= now:
            self._refill(max(self._pending_from, self._refilled_at))
            self.share = self._pending_share
            self._pending_share = None
        self._refill(now)

    def spend(self, now: float) -> bool:
        """Spend a token; return False if there is none."""
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
