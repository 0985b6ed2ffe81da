"""How far all hosts together may pass a rate, and how that is divided among what needs it."""

from __future__ import annotations

import msgspec

MIN_HOST_TOKENS = 1.0

# Parts of what may pass beyond a limit. They add up to less than all, as reports come late.
UNSEEN_PART_OF_SLACK = 0.4
OWN_PART_OF_SLACK = 0.55
RATE_PART_OF_OVERSHOOT = 0.5
OWN_PART_OF_OVERSHOOT = 0.2


class RateTolerance(msgspec.Struct, frozen=True):
    """How far all hosts together may pass a limit in any window of ``window_s`` seconds.

    That is by the part ``overshoot`` of the limit, and by ``slack`` requests.
    """

    overshoot: float = 0.1
    slack: float = 20.0
    window_s: float = 5.0

    @property
    def rate_factor(self) -> float:
        """Return the rate that is given out, as a multiple of a workspace's rate."""
        return 1 + self.overshoot * RATE_PART_OF_OVERSHOOT

    @property
    def unreported_tokens(self) -> float:
        """Return the requests that others may admit before their reports tell of them."""
        return self.slack * UNSEEN_PART_OF_SLACK

    def host_tokens_cap(self, rate_per_s: float, host_count: int) -> float:
        """Return the requests that a host may save up of its share of a rate."""
        of_rate = self.overshoot * OWN_PART_OF_OVERSHOOT * rate_per_s * self.window_s
        return max(MIN_HOST_TOKENS, (self.slack * OWN_PART_OF_SLACK + of_rate) / host_count)
