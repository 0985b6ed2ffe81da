"""Tests of the limit of requests to targets in slow start."""

from __future__ import annotations

import pytest

from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.targets.state import TargetState

OVERSHOOT = 1.5
SLACK = 5.0


def target(slow_start_s: float = 3.0) -> TargetState:
    record = TargetRecord(
        target_id="t",
        service="s",
        address="10.0.0.1:80",
        failure_domain="d",
        slots=3,
        draining=False,
        slow_start_s=slow_start_s,
    )
    return TargetState(record, "r", 0.0)


@pytest.mark.parametrize("rate_per_s", [0.5, 2.9, 7.1, 30.0])
@pytest.mark.parametrize("hosts", [1, 3, 7, 34, 300])
def test_all_hosts_together_stay_within_the_bound(rate_per_s: float, hosts: int) -> None:
    names = [f"h{number}" for number in range(hosts)]
    allowances = [
        SlowStartLimit(name, OVERSHOOT, SLACK).allowance("t", rate_per_s, names) for name in names
    ]
    assert 0 < sum(allowances) <= rate_per_s * OVERSHOOT + SLACK
    assert max(allowances) - min(allowances) <= 1


def test_sends_per_second_stay_within_the_allowance() -> None:
    new_target = target()
    sends = []
    for step in range(300):
        now = step / 100
        if new_target.slow_start_sends.allows(2, now):
            new_target.slow_start_sends.add(now)
            sends.append(now)
    assert all(sum(start <= at <= start + 1 for at in sends) <= 2 for start in sends)
    assert len(sends) >= 4
