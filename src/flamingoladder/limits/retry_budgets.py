"""Bounds the requests that are sent to a further target, by service, over all hosts."""

from __future__ import annotations

RATIO_MARGIN = 0.7
SLACK_MARGIN = 0.6


class RetryBudgets:
    """This host's part of the budget of each service.

    A request adds a fraction of a retry for the service. The slack is divided evenly among the
    hosts, and comes back within two windows.
    """

    __slots__ = ("_at", "_hosts", "_levels_by_service", "_ratio", "_slack", "_window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio * RATIO_MARGIN
        self._slack = slack * SLACK_MARGIN
        self._window_s = window_s
        self._hosts = 1
        self._levels_by_service: dict[str, float] = {}
        self._at: dict[str, float] = {}

    def set_host_count(self, host_count: int) -> None:
        """Divide the slack among this number of hosts."""
        self._hosts = max(1, host_count)

    def deposit(self, service: str, now: float) -> None:
        """Count one request for ``service``."""
        self._settle(service, now)
        self._levels_by_service[service] = min(
            self._cap, self._levels_by_service[service] + self._ratio
        )

    def take(self, service: str, now: float) -> bool:
        """Return whether one more send may be made, and count it."""
        self._settle(service, now)
        if self._levels_by_service[service] < 1:
            return False
        self._levels_by_service[service] -= 1
        return True

    @property
    def _cap(self) -> float:
        return max(1.0, self._slack / self._hosts / 2)

    def _settle(self, service: str, now: float) -> None:
        level = self._levels_by_service.get(service, self._cap)
        elapsed = now - self._at.get(service, now)
        refilled = level + elapsed * self._cap / self._window_s
        self._levels_by_service[service] = min(self._cap, refilled)
        self._at[service] = now
