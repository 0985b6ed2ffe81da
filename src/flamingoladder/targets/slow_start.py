"""How many requests a cold target may get from this host, so that all hosts keep its bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection

    from flamingoladder.targets.state import TargetState

WINDOW_S = 1.2
MARGIN = 0.75


class SlowStartLimit:
    """Divides the bound of a cold target among the hosts by rendezvous hashing.

    A host gets the same whole number of requests in each window as any other; what is left of the
    bound goes to the hosts that rank first for the target. No host has to ask another.
    """

    __slots__ = ("_host", "_overshoot", "_slack")

    def __init__(self, host: str, overshoot: float, slack: float) -> None:
        self._host = host
        self._overshoot = overshoot
        self._slack = slack

    def allowance(self, target: str, rate_per_s: float, hosts: Collection[str]) -> int:
        """Return the requests in a window that this host may send to ``target``."""
        bound = int((rate_per_s * self._overshoot + self._slack) * MARGIN)
        others = {host for host in hosts if host != self._host}
        each, rest = divmod(bound, len(others) + 1)
        own = stable_hash(target, self._host)
        ahead = sum(stable_hash(target, host) > own for host in others)
        return each + (ahead < rest)

    def may_send(self, target: TargetState, allowance: int, now: float) -> bool:
        """Return whether another request fits into the window that ends now."""
        sends = target.slow_start_sends
        while sends and now - sends[0] >= WINDOW_S:
            sends.popleft()
        return len(sends) < allowance
