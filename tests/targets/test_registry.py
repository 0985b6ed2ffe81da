"""Tests of the registry of targets."""

from __future__ import annotations

import pytest

from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.timeline.recorder import Recorder

SLOW_START_S = 3.0


def record(
    target_id: str = "t1",
    service: str = "s",
    domain: str = "d1",
    *,
    draining: bool = False,
    slow_start_s: float = 0.0,
    started_ms: int = 1,
) -> TargetRecord:
    return TargetRecord(
        target_id=target_id,
        service=service,
        address="10.0.0.1:80",
        failure_domain=domain,
        slots=3,
        draining=draining,
        slow_start_s=slow_start_s,
        started_ms=started_ms,
    )


@pytest.fixture
def registry() -> TargetRegistry:
    registry = TargetRegistry({"d1": "r1", "d2": "r2"}, Recorder("h", "i"))
    registry.put(record("t1", domain="d1"), 0.0)
    registry.put(record("t2", domain="d2"), 0.0)
    return registry


def eligible_ids(registry: TargetRegistry) -> list[str]:
    return [target.record.target_id for target in registry.eligible_targets("s")]


def test_draining_target_is_not_eligible(registry: TargetRegistry) -> None:
    registry.put(record("t1", draining=True), 1.0)
    assert eligible_ids(registry) == ["t2"]


def test_each_change_shows_in_the_next_list_of_eligible_targets(registry: TargetRegistry) -> None:
    """A target that has left, or is of another service, would get requests for nothing."""
    assert eligible_ids(registry) == ["t1", "t2"]
    registry.put(record("t3"), 1.0)
    assert eligible_ids(registry) == ["t1", "t2", "t3"]
    registry.put(record("t2", domain="d2", draining=True), 1.0)
    assert eligible_ids(registry) == ["t1", "t3"]
    registry.put(record("t1", service="other"), 1.0)
    assert eligible_ids(registry) == ["t3"]
    registry.remove("t3", "gone")
    assert eligible_ids(registry) == []


def test_evacuated_targets_are_not_eligible_and_return_in_slow_start(
    registry: TargetRegistry,
) -> None:
    registry.set_evacuated({"d1"}, 1.0, SLOW_START_S)
    assert eligible_ids(registry) == ["t2"]
    registry.set_evacuated((), 10.0, SLOW_START_S)
    assert eligible_ids(registry) == ["t1", "t2"]
    assert registry.by_id["t1"].in_slow_start(12.9)
    assert not registry.by_id["t1"].in_slow_start(13.1)
    assert not registry.by_id["t2"].in_slow_start(10.0)


def test_changed_service_replaces_the_target(registry: TargetRegistry) -> None:
    registry.put(record("t1", service="other"), 1.0)
    assert eligible_ids(registry) == ["t2"]
    assert [target.record.target_id for target in registry.eligible_targets("other")] == ["t1"]


def test_lapsed_target_stays_until_its_scheduled_removal(registry: TargetRegistry) -> None:
    registry.schedule_removal("t1", 5.0)
    registry.expire(4.9)
    assert eligible_ids(registry) == ["t1", "t2"]
    registry.expire(5.0)
    assert eligible_ids(registry) == ["t2"]


def test_registering_again_cancels_the_removal(registry: TargetRegistry) -> None:
    registry.schedule_removal("t1", 5.0)
    registry.put(record("t1"), 4.0)
    registry.expire(6.0)
    assert eligible_ids(registry) == ["t2", "t1"] or eligible_ids(registry) == ["t1", "t2"]


def test_restart_resets_failures_and_ejection(registry: TargetRegistry) -> None:
    state = registry.by_id["t1"]
    for _ in range(3):
        state.record_failure(1.0)
    state.down = True
    assert state.is_ejected(1.5)
    registry.put(record("t1", started_ms=2, slow_start_s=3.0), 2.0)
    assert not registry.by_id["t1"].is_ejected(2.0)
    assert not registry.by_id["t1"].down
    assert registry.by_id["t1"].in_slow_start(4.9)


@pytest.mark.parametrize(
    ("outcomes", "ejected"),
    [
        ([False, False], False),
        ([False, False, False], True),
        ([True, True, True, True, False, False, False], False),
        ([True, False, True, False, True, False], True),
    ],
)
def test_target_is_ejected_when_half_of_its_requests_fail(
    registry: TargetRegistry, outcomes: list[bool], ejected: bool
) -> None:
    state = registry.by_id["t1"]
    for good in outcomes:
        if good:
            state.record_success()
        else:
            state.record_failure(1.0)
    assert state.is_ejected(1.1) is ejected
