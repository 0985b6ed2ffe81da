"""Retry budgets: limits of the requests sent to another target, by service, over all hosts."""

from __future__ import annotations

RATIO_MARGIN = 0.7
SLACK_MARGIN = 0.6


class RetryBudgets:
    """This host's share of the retry budget of each service.

    Each request adds a fraction of a retry for the service. The slack is divided evenly among
    the hosts, and is refilled within two windows.
    """

    __slots__ = (
        "_host_count",
        "_ratio",
        "_refilled_at_by_service",
        "_retries_by_service",
        "_slack",
        "_window_s",
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio * RATIO_MARGIN
        self._slack = slack * SLACK_MARGIN
        self._window_s = window_s
        self._host_count = 1
        self._retries_by_service: dict[str, float] = {}
        self._refilled_at_by_service: dict[str, float] = {}

    def set_host_count(self, host_count: int) -> None:
        """Set the number of hosts that share the slack."""
        self._host_count = max(1, host_count)

    def deposit(self, service: str, now: float) -> None:
        """Add the retry fraction of one request for ``service``."""
        self._refill(service, now)
        self._retries_by_service[service] = min(
            self._cap, self._retries_by_service[service] + self._ratio
        )

    def take(self, service: str, now: float) -> bool:
        """Take one retry from the budget; return False if there is none left."""
        self._refill(service, now)
        if self._retries_by_service[service] < 1:
            return False
        self._retries_by_service[service] -= 1
        return True

    @property
    def _cap(self) -> float:
        return max(1.0, self._slack / self._host_count / 2)

    def _refill(self, service: str, now: float) -> None:
        retries = self._retries_by_service.get(service, self._cap)
        elapsed = now - self._refilled_at_by_service.get(service, now)
        refilled = retries + elapsed * self._cap / self._window_s
        self._retries_by_service[service] = min(self._cap, refilled)
        self._refilled_at_by_service[service] = now
