"""Bounds retries to a part of the requests."""

from __future__ import annotations

RESERVE = 10.0


class RetryBudget:
    """Each request adds a fraction of a retry; a reserve serves hosts with little traffic."""

    __slots__ = ("_balance",)

    def __init__(self) -> None:
        self._balance = RESERVE

    def deposit(self, ratio: float) -> None:
        """Add ``ratio`` retries for one request."""
        self._balance = min(RESERVE, self._balance + ratio)

    def take(self) -> bool:
        """Return whether one retry may be made, and count it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
