"""Tests of the retry budget."""

from __future__ import annotations

from flamingoladder.upstreams.retry_budget import RESERVE
from flamingoladder.upstreams.retry_budget import RetryBudget


def test_retries_stay_within_the_reserve_and_the_ratio() -> None:
    budget = RetryBudget()
    requests, retries = 1_000, 0
    for _ in range(requests):
        budget.deposit(0.1)
        retries += budget.take()
    assert retries <= RESERVE + 0.1 * requests
    assert retries >= 0.1 * requests
