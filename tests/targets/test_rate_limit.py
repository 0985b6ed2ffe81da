"""Tests of what a host knows of a target's rate limit."""

from __future__ import annotations

import pytest

from flamingoladder.targets.fleet_share import FleetShare
from flamingoladder.targets.rate_limit import END_REPORTED_S
from flamingoladder.targets.rate_limit import REPORTED_S
from flamingoladder.targets.rate_limit import STALE_S
from flamingoladder.targets.rate_limit import STALE_STEP_S
from flamingoladder.targets.rate_limit import WINDOW_S
from flamingoladder.targets.rate_limit import RateLimitReport
from flamingoladder.targets.rate_limit import TargetRateLimit
from flamingoladder.targets.rate_limit import Told
from flamingoladder.targets.record import TargetRecord
from tests.targets.test_slow_start import target


@pytest.mark.parametrize(
    ("told", "per_s"),
    [
        ([Told(2.9, 1.0), Told(2.2, 2.0)], 2.2),
        ([Told(2.9, 1.0), Told(None, 2.0)], None),
        ([Told(2.9, 1.0), Told(None, 0.9)], 2.9),
        ([Told(2.9, 1.0), Told(None, 2.0), Told(2.9, 3.0)], 2.9),
        ([Told(None, 1.0)], None),
    ],
)
def test_newest_answer_decides(told: list[Told], per_s: float | None) -> None:
    """An answer without a limit to a request from before the naming doesn't end it."""
    state = target()
    for one in told:
        state.learn_rate_limit(one, directly=True)
    assert state.rate_limit_per_s == per_s


@pytest.mark.parametrize(("started_ms", "per_s"), [(None, 2.9), (7, None)])
def test_restarted_target_has_no_limit(started_ms: int | None, per_s: float | None) -> None:
    state = target()
    state.learn_rate_limit(Told(2.9, 1.0), directly=True)
    record = TargetRecord(
        target_id="t",
        service="s",
        address="10.0.0.1:80",
        failure_domain="d",
        slots=3,
        draining=False,
        slow_start_s=0.0,
        started_ms=started_ms,
    )
    state.update(record, 2.0)
    assert state.rate_limit_per_s == per_s


def test_sends_stay_within_the_share_in_every_window() -> None:
    limit = TargetRateLimit(Told(2.2, 0.0))
    sends = []
    for step in range(1_000):
        now = step / 50
        limit.learn(Told(2.2, now))
        if limit.allows_send(FleetShare(3, 0), now):
            limit.sends.add(now)
            sends.append(now)
    assert all(sum(start <= at < start + WINDOW_S for at in sends) <= 3 for start in sends)
    assert len(sends) == 15


@pytest.mark.parametrize("rank", [1, 77])
def test_hosts_without_a_part_try_one_after_the_other_when_none_tells_of_the_limit(
    rank: int,
) -> None:
    limit = TargetRateLimit(Told(2.2, 0.0))
    share = FleetShare(0, rank)
    due = STALE_S + rank * STALE_STEP_S
    assert not limit.allows_send(share, due - STALE_STEP_S / 2)
    assert limit.allows_send(share, due)
    limit.sends.add(due)
    assert not limit.allows_send(share, due)


def test_own_knowledge_is_reported_while_it_is_recent() -> None:
    limit = TargetRateLimit(Told(2.2, 0.0))
    assert limit.report(0.1) is None
    limit.learn_directly(Told(2.2, 1.0))
    assert limit.report(1.5) == RateLimitReport(2.2, 500)
    limit.learn(Told(None, 1.6))
    assert limit.report(1.7) == RateLimitReport(2.2, 700)
    assert limit.report(1.0 + REPORTED_S) is None


def test_end_of_a_limit_is_reported_again_for_a_while() -> None:
    limit = TargetRateLimit(Told(2.2, 0.0))
    limit.learn_directly(Told(None, 1.0))
    limit.learn_directly(Told(None, 1.0 + END_REPORTED_S))
    assert limit.report(1.0 + END_REPORTED_S) == RateLimitReport(None, 0)
    limit.learn_directly(Told(None, 3.0 + END_REPORTED_S))
    assert limit.report(3.0 + END_REPORTED_S) is None
