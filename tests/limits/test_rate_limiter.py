"""Tests of rates and bursts over all hosts, on injected time."""

from __future__ import annotations

from random import Random

import pytest

from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.rate_limiter import RateReport
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.routing.model import Workspace
from flamingoladder.soak.windows import most_in_window

TOLERANCE = RateTolerance(overshoot=0.1, slack=20.0, window_s=5.0)
STRICT = RateTolerance(overshoot=0.05, slack=10.0, window_s=5.0)
REPORT_INTERVAL_S = 0.25
STEP_S = 0.01
DURATION_S = 30.0


def workspace(rate: float, burst: float) -> Workspace:
    return Workspace(name="w", rate_per_s=rate, burst=burst)


def simulate(
    limit: Workspace,
    load: float,
    shares: list[float],
    *,
    seed: int = 1,
    silent: bool = False,
    full: bool = True,
    tolerance: RateTolerance = TOLERANCE,
    report_interval_s: float = REPORT_INTERVAL_S,
) -> tuple[list[float], int]:
    """Return the times of admitted requests, and the number of requests."""
    random = Random(seed)
    hosts = [FleetRateLimiter(tolerance, start_full=full) for _ in shares]
    admitted: list[float] = []
    requested = 0
    next_report = 0.0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        if now >= next_report:
            next_report += report_interval_s
            reports = {f"h{number}": host.report(now) for number, host in enumerate(hosts)}
            for number, host in enumerate(hosts):
                others = {name: sent for name, sent in reports.items() if name != f"h{number}"}
                host.update(len(hosts), {} if silent else others, report_interval_s)
        for host, share in zip(hosts, shares, strict=True):
            if random.random() < load * limit.rate_per_s * share * STEP_S:
                requested += 1
                if host.admit(limit, now) is None:
                    admitted.append(now)
    return admitted, requested


def within_limit(admitted: list[float], limit: Workspace, tolerance: RateTolerance) -> bool:
    limit_in_window = limit.rate_per_s * tolerance.window_s + limit.burst
    bound = limit_in_window * (1 + tolerance.overshoot) + tolerance.slack
    return most_in_window(admitted, tolerance.window_s) <= bound


EVEN = [1 / 7] * 7
SKEWED = [0.7] + [0.05] * 6


@pytest.mark.parametrize("shares", [EVEN, SKEWED])
@pytest.mark.parametrize("load", [0.6, 1.5, 3.0, 7.5])
@pytest.mark.parametrize("tolerance", [TOLERANCE, STRICT])
@pytest.mark.parametrize(
    ("rate", "burst"), [(6.0, 6.0), (60.0, 60.0), (200.0, 100.0), (200.0, 20.0)]
)
def test_no_window_exceeds_the_limit(
    shares: list[float], load: float, rate: float, burst: float, tolerance: RateTolerance
) -> None:
    limit = workspace(rate, burst)
    admitted, _ = simulate(limit, load, shares, tolerance=tolerance)
    assert within_limit(admitted, limit, tolerance)


@pytest.mark.parametrize("shares", [EVEN, SKEWED])
@pytest.mark.parametrize(
    ("rate", "burst"), [(6.0, 6.0), (60.0, 60.0), (200.0, 100.0), (200.0, 20.0)]
)
def test_requests_within_the_rate_are_rarely_refused(
    shares: list[float], rate: float, burst: float
) -> None:
    admitted, requested = simulate(workspace(rate, burst), 0.6, shares)
    assert len(admitted) >= 0.98 * requested


def test_hosts_without_reports_stay_within_even_shares() -> None:
    limit = workspace(60.0, 60.0)
    admitted, _ = simulate(limit, 7.5, EVEN, silent=True, full=False)
    assert within_limit(admitted, limit, TOLERANCE)


def test_rate_of_zero_refuses_nothing() -> None:
    rates = FleetRateLimiter(RateTolerance(), start_full=False)
    assert all(rates.admit(workspace(0.0, 0.0), now / 100) is None for now in range(1_000))


def test_refusal_has_a_retry_time() -> None:
    rates = FleetRateLimiter(RateTolerance(), start_full=False)
    limit = workspace(1.0, 0.0)
    assert rates.admit(limit, 0.0) is None
    refused = rates.admit(limit, 0.0)
    while refused is None:
        refused = rates.admit(limit, 0.0)
    assert 0 < refused.wait_s <= 1.0
    assert rates.admit(limit, refused.wait_s + 0.01) is None


def test_requests_that_did_not_run_are_refunded() -> None:
    rates = FleetRateLimiter(RateTolerance(), start_full=True)
    limit = workspace(0.1, 10.0)
    for _ in range(100):
        assert rates.admit(limit, 0.0) is None
        rates.refund(limit)


def test_refunds_are_subtracted_from_later_reports() -> None:
    """A decrease of the reported count would look like a restart of the host."""
    rates = FleetRateLimiter(RateTolerance(), start_full=True)
    limit = workspace(10.0, 100.0)
    reported = []
    for _ in range(3):
        rates.admit(limit, 0.0)
    reported.append(rates.report(0.0)["w"].admitted)
    rates.refund(limit)
    rates.refund(limit)
    reported.append(rates.report(0.0)["w"].admitted)
    for _ in range(3):
        rates.admit(limit, 0.0)
    reported.append(rates.report(0.0)["w"].admitted)
    assert reported == [3, 3, 4]


@pytest.mark.parametrize("shares", [EVEN, SKEWED])
@pytest.mark.parametrize("load", [1.1, 1.5, 3.0, 7.5])
@pytest.mark.parametrize(("rate", "burst"), [(60.0, 60.0), (200.0, 100.0), (200.0, 20.0)])
def test_workspace_over_its_rate_gets_its_full_rate(
    shares: list[float], load: float, rate: float, burst: float
) -> None:
    limit = workspace(rate, burst)
    admitted, requested = simulate(limit, load, shares)
    assert len(admitted) >= 0.95 * min(requested, rate * DURATION_S + burst)


def test_the_demand_of_other_hosts_is_that_of_their_present_reports() -> None:
    """Sums that are updated by what changed must not keep what hosts no longer report."""
    random = Random(1)
    rates = FleetRateLimiter(RateTolerance(), start_full=True)
    reports: dict[str, dict[str, RateReport]] = {}
    for step in range(200):
        host = f"h{random.randrange(8)}"
        if random.random() < 0.2:
            reports.pop(host, None)
        else:
            known = {} if random.random() < 0.2 else reports.get(host, {})
            changed = RateReport(step, round(random.uniform(0.0, 9.0), 1))
            reports[host] = {**known, f"w{random.randrange(4)}": changed}
        rates.update(len(reports) + 1, reports, REPORT_INTERVAL_S)
        for name in ("w0", "w1", "w2", "w3"):
            present = [found[name].demand_per_s for found in reports.values() if name in found]
            assert rates._fleet_demand(name) == pytest.approx(sum(present), abs=1e-6)


LARGE_FLEET = 91
LARGE_FLEET_INTERVAL_S = 0.71


def shares_of(used: int) -> list[float]:
    return [1 / used] * used + [0.0] * (LARGE_FLEET - used)


@pytest.mark.parametrize(
    ("rate", "burst", "used", "least"),
    [(5.0, 12.0, 3, 0.8), (20.0, 25.0, 8, 0.85), (60.0, 60.0, 3, 0.95), (60.0, 60.0, 91, 0.8)],
)
def test_small_workspace_in_a_large_fleet_gets_most_of_what_is_within_its_rate(
    rate: float, burst: float, used: int, least: float
) -> None:
    """Guards against hosts that refuse one of two requests while the fleet's bucket is full.

    A workspace with few callers uses few hosts, and a share for each of the others left it little.
    """
    admitted, requested = simulate(
        workspace(rate, burst), 0.6, shares_of(used), report_interval_s=LARGE_FLEET_INTERVAL_S
    )
    assert len(admitted) >= least * requested


@pytest.mark.parametrize(
    ("rate", "burst", "used"),
    [(5.0, 12.0, 3), (5.0, 12.0, 8), (60.0, 60.0, 8), (60.0, 60.0, 91), (3.0, 6.0, 91)],
)
def test_no_window_exceeds_the_limit_in_a_large_fleet(rate: float, burst: float, used: int) -> None:
    limit = workspace(rate, burst)
    admitted, _ = simulate(limit, 8.0, shares_of(used), report_interval_s=LARGE_FLEET_INTERVAL_S)
    assert within_limit(admitted, limit, TOLERANCE)
