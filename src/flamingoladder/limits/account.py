"""One workspace's account, as one host knows it."""

from __future__ import annotations

from flamingoladder.limits.tolerance import OWN_UNITS

DEMAND_TIME_S = 1.5
SPENDING_TIME_S = 2.0
MAX_DEBT_UNITS = 10.0
DEBT_SLOWING = 0.7


class Account:
    """One workspace. ``left`` is what all hosts may still admit, ``own`` what this host may."""

    __slots__ = ("admitted", "at", "demand_per_s", "left", "own")

    def __init__(self, left: float, now: float) -> None:
        self.left = left
        self.own = OWN_UNITS
        self.at = now
        self.admitted = 0
        self.demand_per_s = 0.0

    def demand(self, now: float) -> float:
        """Return the demand at this host in requests per second, as it faded up to ``now``."""
        elapsed = max(0.0, now - self.at)
        return self.demand_per_s * max(0.0, 1 - elapsed / DEMAND_TIME_S)

    def refill(
        self, rate_per_s: float, burst: float, share: float, own_cap: float, now: float
    ) -> None:
        """Let time pass at the rate and burst of the hosts that are heard."""
        elapsed = max(0.0, now - self.at)
        gained = elapsed * rate_per_s
        self.left = min(max(1.0, burst), self.left + gained)
        slowing = DEBT_SLOWING if self.left < -MAX_DEBT_UNITS else 1.0
        unspent = elapsed * max(0.0, self.left) / SPENDING_TIME_S
        self.own = min(own_cap, self.own + (gained * slowing + unspent) * share)
        self.demand_per_s = self.demand(now)
        self.at = now

    def take(self) -> None:
        """Count an admitted request."""
        self.left -= 1
        self.admitted += 1

    def give_back(self) -> None:
        """Count an admitted request no longer."""
        self.left += 1
        self.admitted -= 1
