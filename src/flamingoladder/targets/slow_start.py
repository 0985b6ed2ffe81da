"""Limit of the requests that this host sends to a target in slow start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection

    from flamingoladder.targets.state import TargetState

SEND_WINDOW_S = 1.2
BOUND_SAFETY_FACTOR = 0.75


class SlowStartLimit:
    """Divides the request rate of a target in slow start among the hosts by rendezvous hashing.

    Every host gets the same whole number of requests per window; the remainder goes to the hosts
    that rank first for the target, so the hosts need no coordination.
    """

    __slots__ = ("_host", "_overshoot", "_slack")

    def __init__(self, host: str, overshoot: float, slack: float) -> None:
        self._host = host
        self._overshoot = overshoot
        self._slack = slack

    def allowance(self, target: str, rate_per_s: float, hosts: Collection[str]) -> int:
        """Return the number of requests per window that this host may send to ``target``."""
        bound = int((rate_per_s * self._overshoot + self._slack) * BOUND_SAFETY_FACTOR)
        others = {host for host in hosts if host != self._host}
        per_host, remainder = divmod(bound, len(others) + 1)
        own_hash = stable_hash(target, self._host)
        hosts_ahead = sum(stable_hash(target, host) > own_hash for host in others)
        return per_host + (hosts_ahead < remainder)

    def may_send(self, target: TargetState, allowance: int, now: float) -> bool:
        """Return whether another request stays within the allowance of the window that ends now."""
        sends = target.slow_start_sends
        while sends and now - sends[0] >= SEND_WINDOW_S:
            sends.popleft()
        return len(sends) < allowance
