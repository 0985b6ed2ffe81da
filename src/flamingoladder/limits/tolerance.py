"""Tolerance by which all hosts together may exceed a rate, and its division among its causes."""

from __future__ import annotations

import msgspec

MIN_HOST_TOKENS = 1.0

# Shares of the tolerance. They add up to less than 1, as reports arrive late.
UNREPORTED_SHARE_OF_SLACK = 0.4
HOST_SHARE_OF_SLACK = 0.55
RATE_SHARE_OF_OVERSHOOT = 0.5
HOST_SHARE_OF_OVERSHOOT = 0.2


class RateTolerance(msgspec.Struct, frozen=True):
    """Excess over a limit that all hosts together may admit in any window of ``window_s`` seconds.

    It is the fraction ``overshoot`` of the limit plus ``slack`` requests.
    """

    overshoot: float = 0.1
    slack: float = 20.0
    window_s: float = 5.0

    @property
    def rate_factor(self) -> float:
        """Return the refill rate as a multiple of a workspace's rate."""
        return 1 + self.overshoot * RATE_SHARE_OF_OVERSHOOT

    @property
    def unreported_tokens(self) -> float:
        """Return the number of requests that others may admit before they report them."""
        return self.slack * UNREPORTED_SHARE_OF_SLACK

    def host_tokens_cap(self, rate_per_s: float, host_count: int) -> float:
        """Return the tokens that a host may accumulate from its share of a rate."""
        overshoot_tokens = self.overshoot * HOST_SHARE_OF_OVERSHOOT * rate_per_s * self.window_s
        return max(
            MIN_HOST_TOKENS, (self.slack * HOST_SHARE_OF_SLACK + overshoot_tokens) / host_count
        )
