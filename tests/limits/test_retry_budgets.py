"""Tests of the retry budget over all hosts."""

from __future__ import annotations

import pytest

from flamingoladder.limits.retry_budgets import RetryBudgets

RATIO = 0.2
SLACK = 58.0
WINDOW_S = 10.0
STEP_S = 0.02


@pytest.mark.parametrize("hosts", [1, 7, 34])
@pytest.mark.parametrize("per_s", [5.0, 60.0])
def test_retries_in_any_window_stay_within_the_budget(hosts: int, per_s: float) -> None:
    budgets = [RetryBudgets(RATIO, SLACK, WINDOW_S) for _ in range(hosts)]
    for budget in budgets:
        budget.set_host_count(hosts)
    retries: list[float] = []
    requests: list[float] = []
    due = 0.0
    for step in range(int(40 / STEP_S)):
        now = step * STEP_S
        due += per_s * STEP_S
        while due >= 1:
            due -= 1
            budget = budgets[len(requests) % hosts]
            requests.append(now)
            budget.deposit("s", now)
            while budget.take("s", now):
                retries.append(now)
    for start in range(30):
        end = start + WINDOW_S
        retried = sum(start <= at < end for at in retries)
        requested = sum(start <= at < end for at in requests)
        assert retried <= RATIO * requested + SLACK


def test_each_service_has_its_own_budget() -> None:
    budgets = RetryBudgets(RATIO, SLACK, WINDOW_S)
    while budgets.take("a", 0.0):
        pass
    assert budgets.take("b", 0.0)
