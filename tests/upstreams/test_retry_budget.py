"""Tests of the retry budget."""

from __future__ import annotations

from flamingoladder.upstreams.retry_budget import MAX_BALANCE
from flamingoladder.upstreams.retry_budget import RetryBudget


def test_retries_are_limited_by_the_initial_balance_and_the_ratio() -> None:
    budget = RetryBudget()
    requests, retries = 1_000, 0
    for _ in range(requests):
        budget.deposit(0.1)
        retries += budget.try_withdraw()
    assert retries <= MAX_BALANCE + 0.1 * requests
    assert retries >= 0.1 * requests
