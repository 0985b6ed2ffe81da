"""Limits retries to a fraction of the requests."""

from __future__ import annotations

MAX_BALANCE = 10.0  # retries


class RetryBudget:
    """A token bucket refilled by requests.

    It starts full so that a host with little traffic can retry.
    """

    __slots__ = ("_balance",)

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def deposit(self, ratio: float) -> None:
        """Add ``ratio`` of a retry for one request, up to ``MAX_BALANCE``."""
        self._balance = min(MAX_BALANCE, self._balance + ratio)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if the balance is too low."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
