"""Token buckets of one workspace on one host."""

from __future__ import annotations

from flamingoladder.limits.tolerance import MIN_HOST_TOKENS

DEMAND_DECAY_S = 1.5
SURPLUS_SPENDING_S = 2.0
# While shares refilled at the full rate in debt from a sudden start, a window could hold 1.02 of
# the bound. So they refill more slowly beyond this debt.
MAX_DEBT_TOKENS = 10.0
DEBT_REFILL_FACTOR = 0.7


class WorkspaceBuckets:
    """Tokens of one workspace: ``fleet_tokens`` of all hosts, ``host_tokens`` of this host only."""

    __slots__ = ("admitted", "demand_per_s", "fleet_tokens", "host_tokens", "updated_at")

    def __init__(self, fleet_tokens: float, now: float) -> None:
        self.fleet_tokens = fleet_tokens
        self.host_tokens = MIN_HOST_TOKENS
        self.updated_at = now
        self.admitted = 0
        self.demand_per_s = 0.0

    def demand_at(self, now: float) -> float:
        """Return the demand at this host in requests per second, decayed up to ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        return self.demand_per_s * max(0.0, 1 - elapsed / DEMAND_DECAY_S)

    def refill(
        self, rate_per_s: float, burst: float, share: float, host_tokens_cap: float, now: float
    ) -> None:
        """Refill both buckets up to ``now``, at the rate and burst of the hosts that report."""
        elapsed = max(0.0, now - self.updated_at)
        refilled = elapsed * rate_per_s
        self.fleet_tokens = min(max(1.0, burst), self.fleet_tokens + refilled)
        debt_factor = DEBT_REFILL_FACTOR if self.fleet_tokens < -MAX_DEBT_TOKENS else 1.0
        surplus = elapsed * max(0.0, self.fleet_tokens) / SURPLUS_SPENDING_S
        self.host_tokens = min(
            host_tokens_cap, self.host_tokens + (refilled * debt_factor + surplus) * share
        )
        self.demand_per_s = self.demand_at(now)
        self.updated_at = now

    def spend(self) -> None:
        """Spend a fleet token for an admitted request."""
        self.fleet_tokens -= 1
        self.admitted += 1

    def refund(self) -> None:
        """Return the fleet token of an admitted request that did not run."""
        self.fleet_tokens += 1
        self.admitted -= 1
