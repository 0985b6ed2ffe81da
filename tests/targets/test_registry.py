"""Tests of what a host knows of the targets."""

from __future__ import annotations

import pytest

from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.timeline.recorder import Recorder

RAMP_S = 3.0


def record(
    target_id: str = "t1",
    service: str = "s",
    domain: str = "d1",
    *,
    draining: bool = False,
    cold_s: float = 0.0,
    started_ms: int = 1,
) -> TargetRecord:
    return TargetRecord(
        target_id=target_id,
        service=service,
        address="10.0.0.1:80",
        failure_domain=domain,
        slots=3,
        draining=draining,
        slow_start_s=cold_s,
        started_ms=started_ms,
    )


@pytest.fixture
def book() -> TargetRegistry:
    found = TargetRegistry({"d1": "r1", "d2": "r2"}, Recorder("h", "i"))
    found.put(record("t1", domain="d1"), 0.0)
    found.put(record("t2", domain="d2"), 0.0)
    return found


def names(book: TargetRegistry) -> list[str]:
    return [target.record.target_id for target in book.eligible_targets("s")]


def test_a_draining_target_takes_no_work(book: TargetRegistry) -> None:
    book.put(record("t1", draining=True), 1.0)
    assert names(book) == ["t2"]


def test_an_evacuated_domain_takes_no_work_and_comes_back_cold(book: TargetRegistry) -> None:
    book.set_evacuated({"d1"}, 1.0, RAMP_S)
    assert names(book) == ["t2"]
    book.set_evacuated((), 10.0, RAMP_S)
    assert names(book) == ["t1", "t2"]
    assert book.by_id["t1"].in_slow_start(12.9)
    assert not book.by_id["t1"].in_slow_start(13.1)
    assert not book.by_id["t2"].in_slow_start(10.0)


def test_a_target_that_moved_to_another_service_is_a_new_one(book: TargetRegistry) -> None:
    book.put(record("t1", service="other"), 1.0)
    assert names(book) == ["t2"]
    assert [target.record.target_id for target in book.eligible_targets("other")] == ["t1"]


def test_a_lapsed_entry_is_kept_until_it_is_certainly_gone(book: TargetRegistry) -> None:
    book.schedule_removal("t1", 5.0)
    book.expire(4.9)
    assert names(book) == ["t1", "t2"]
    book.expire(5.0)
    assert names(book) == ["t2"]


def test_a_lapsed_entry_that_comes_back_stays(book: TargetRegistry) -> None:
    book.schedule_removal("t1", 5.0)
    book.put(record("t1"), 4.0)
    book.expire(6.0)
    assert names(book) == ["t2", "t1"] or names(book) == ["t1", "t2"]


def test_a_new_start_forgets_the_failures_of_the_one_before(book: TargetRegistry) -> None:
    state = book.by_id["t1"]
    for _ in range(3):
        state.record_failure(1.0)
    state.down = True
    assert state.is_ejected(1.5)
    book.put(record("t1", started_ms=2, cold_s=3.0), 2.0)
    assert not book.by_id["t1"].is_ejected(2.0)
    assert not book.by_id["t1"].down
    assert book.by_id["t1"].in_slow_start(4.9)


@pytest.mark.parametrize(
    ("outcomes", "ejected"),
    [
        ([False, False], False),
        ([False, False, False], True),
        ([True, True, True, True, False, False, False], False),
        ([True, False, True, False, True, False], True),
    ],
)
def test_a_target_is_ejected_when_half_of_its_requests_fail(
    book: TargetRegistry, outcomes: list[bool], ejected: bool
) -> None:
    state = book.by_id["t1"]
    for good in outcomes:
        if good:
            state.record_success()
        else:
            state.record_failure(1.0)
    assert state.is_ejected(1.1) is ejected
