"""Tests of rates and bursts over all hosts, on injected time."""

from __future__ import annotations

from bisect import bisect_left
from random import Random

import pytest

from flamingoladder.limits.rates import FleetRates
from flamingoladder.routing.model import Workspace

WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20.0
REPORT_S = 0.25
STEP_S = 0.01
RUN_S = 30.0


def workspace(rate: float, burst: float) -> Workspace:
    return Workspace(name="w", rate_per_s=rate, burst=burst)


def play(
    limit: Workspace,
    load: float,
    shares: list[float],
    *,
    seed: int = 1,
    silent: bool = False,
    full: bool = True,
) -> tuple[list[float], int]:
    """Return the times of admitted requests, and the number of requests."""
    random = Random(seed)
    hosts = [FleetRates(start_full=full) for _ in shares]
    admitted: list[float] = []
    asked = 0
    next_report = 0.0
    for step in range(int(RUN_S / STEP_S)):
        now = step * STEP_S
        if now >= next_report:
            next_report += REPORT_S
            reports = {f"h{number}": host.report(now) for number, host in enumerate(hosts)}
            for number, host in enumerate(hosts):
                heard = {name: of for name, of in reports.items() if name != f"h{number}"}
                host.update(len(hosts), {} if silent else heard, REPORT_S)
        for host, share in zip(hosts, shares, strict=True):
            if random.random() < load * limit.rate_per_s * share * STEP_S:
                asked += 1
                if host.admit(limit, now) is None:
                    admitted.append(now)
    return admitted, asked


def most_in_window(times: list[float]) -> int:
    return max(
        (bisect_left(times, start + WINDOW_S) - number for number, start in enumerate(times)),
        default=0,
    )


EVEN = [1 / 7] * 7
SKEWED = [0.7] + [0.05] * 6


@pytest.mark.parametrize("shares", [EVEN, SKEWED])
@pytest.mark.parametrize("load", [0.6, 1.5, 3.0, 7.5])
@pytest.mark.parametrize(("rate", "burst"), [(6.0, 6.0), (60.0, 60.0), (200.0, 100.0)])
def test_no_window_is_over_the_limit(
    shares: list[float], load: float, rate: float, burst: float
) -> None:
    limit = workspace(rate, burst)
    admitted, _ = play(limit, load, shares)
    bound = (rate * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK
    assert most_in_window(admitted) <= bound


@pytest.mark.parametrize("shares", [EVEN, SKEWED])
@pytest.mark.parametrize(("rate", "burst"), [(6.0, 6.0), (60.0, 60.0)])
def test_few_requests_within_the_rate_are_refused(
    shares: list[float], rate: float, burst: float
) -> None:
    admitted, asked = play(workspace(rate, burst), 0.6, shares)
    assert len(admitted) >= 0.98 * asked


def test_hosts_that_hear_nothing_keep_to_even_parts() -> None:
    limit = workspace(60.0, 60.0)
    admitted, _ = play(limit, 7.5, EVEN, silent=True, full=False)
    assert most_in_window(admitted) <= (60 * WINDOW_S + 60) * (1 + OVERSHOOT) + SLACK


def test_no_limit_refuses_nothing() -> None:
    rates = FleetRates(start_full=False)
    assert all(rates.admit(workspace(0.0, 0.0), now / 100) is None for now in range(1_000))


def test_a_refusal_says_when_to_come_back() -> None:
    rates = FleetRates(start_full=False)
    limit = workspace(1.0, 0.0)
    assert rates.admit(limit, 0.0) is None
    refused = rates.admit(limit, 0.0)
    while refused is None:
        refused = rates.admit(limit, 0.0)
    assert 0 < refused.wait_s <= 1.0
    assert rates.admit(limit, refused.wait_s + 0.01) is None


@pytest.mark.parametrize("shares", [EVEN, SKEWED])
@pytest.mark.parametrize("load", [1.1, 1.5, 3.0, 7.5])
def test_a_workspace_over_its_rate_gets_its_rate(shares: list[float], load: float) -> None:
    limit = workspace(60.0, 60.0)
    admitted, _ = play(limit, load, shares)
    assert len(admitted) >= 0.9 * (limit.rate_per_s * RUN_S + limit.burst)
