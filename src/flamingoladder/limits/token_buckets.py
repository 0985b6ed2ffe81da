"""One workspace's account, as one host knows it."""

from __future__ import annotations

from flamingoladder.limits.tolerance import MIN_HOST_TOKENS

DEMAND_DECAY_S = 1.5
SPENDING_TIME_S = 2.0
MAX_DEBT_UNITS = 10.0
DEBT_SLOWING = 0.7


class WorkspaceBuckets:
    """One workspace. ``left`` is what all hosts may still admit, ``own`` what this host may."""

    __slots__ = ("admitted", "demand_per_s", "fleet_tokens", "host_tokens", "updated_at")

    def __init__(self, fleet_tokens: float, now: float) -> None:
        self.fleet_tokens = fleet_tokens
        self.host_tokens = MIN_HOST_TOKENS
        self.updated_at = now
        self.admitted = 0
        self.demand_per_s = 0.0

    def demand_at(self, now: float) -> float:
        """Return the demand at this host in requests per second, as it faded up to ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        return self.demand_per_s * max(0.0, 1 - elapsed / DEMAND_DECAY_S)

    def refill(
        self, rate_per_s: float, burst: float, share: float, host_tokens_cap: float, now: float
    ) -> None:
        """Let time pass at the rate and burst of the hosts that are heard."""
        elapsed = max(0.0, now - self.updated_at)
        gained = elapsed * rate_per_s
        self.fleet_tokens = min(max(1.0, burst), self.fleet_tokens + gained)
        slowing = DEBT_SLOWING if self.fleet_tokens < -MAX_DEBT_UNITS else 1.0
        unspent = elapsed * max(0.0, self.fleet_tokens) / SPENDING_TIME_S
        self.host_tokens = min(
            host_tokens_cap, self.host_tokens + (gained * slowing + unspent) * share
        )
        self.demand_per_s = self.demand_at(now)
        self.updated_at = now

    def spend(self) -> None:
        """Count an admitted request."""
        self.fleet_tokens -= 1
        self.admitted += 1

    def refund(self) -> None:
        """Count an admitted request no longer."""
        self.fleet_tokens += 1
        self.admitted -= 1
