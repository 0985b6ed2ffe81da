"""Limit of the requests that this host sends to a target in slow start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.targets.fleet_share import fleet_share

if TYPE_CHECKING:
    from collections.abc import Collection

SEND_WINDOW_S = 1.2
BOUND_SAFETY_FACTOR = 0.75


class SlowStartLimit:
    """Divides the request rate of a target in slow start among the hosts."""

    __slots__ = ("_host", "_overshoot", "_slack")

    def __init__(self, host: str, overshoot: float, slack: float) -> None:
        self._host = host
        self._overshoot = overshoot
        self._slack = slack

    def allowance(self, target: str, rate_per_s: float, hosts: Collection[str]) -> int:
        """Return the number of requests per window that this host may send to ``target``."""
        bound = int((rate_per_s * self._overshoot + self._slack) * BOUND_SAFETY_FACTOR)
        return fleet_share(bound, target, self._host, hosts).requests
