"""Tests of requests that take down their targets, on injected time."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.entry.crashes import LIFETIME_S
from flamingoladder.entry.crashes import MAX_CRASHES
from flamingoladder.entry.crashes import CrashGuard
from flamingoladder.fleet.messages import CrashReport
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.entry.parts import LOST
from tests.entry.parts import FakeWire
from tests.entry.parts import Path
from tests.entry.parts import arrived

BACK_AFTER_S = 2.0


@pytest.fixture
def guard() -> CrashGuard:
    return CrashGuard(lambda _: None)


def crash(guard: CrashGuard, target: str, at: float, fingerprint: str = "f") -> None:
    guard.saw_loss(fingerprint, target, at)
    guard.saw_down(target, at + 0.1)


def test_a_request_is_refused_after_its_crashes(guard: CrashGuard) -> None:
    for number in range(MAX_CRASHES):
        assert not guard.refuses("f", number * 3.0)
        crash(guard, f"t{number}", number * 3.0)
    assert guard.refuses("f", MAX_CRASHES * 3.0)
    assert not guard.refuses("other", MAX_CRASHES * 3.0)
    assert not guard.refuses("f", MAX_CRASHES * 3.0 + LIFETIME_S)


def test_targets_that_are_lost_at_one_moment_count_once(guard: CrashGuard) -> None:
    for number in range(6):
        crash(guard, f"t{number}", 1.0 + number / 100)
    assert not guard.refuses("f", 2.0)


def test_an_answer_clears_a_request(guard: CrashGuard) -> None:
    for number in range(MAX_CRASHES):
        crash(guard, f"t{number}", number * 3.0)
    guard.saw_answer("f")
    assert not guard.refuses("f", MAX_CRASHES * 3.0)


def test_a_loss_long_before_a_target_goes_down_is_no_crash(guard: CrashGuard) -> None:
    for number in range(MAX_CRASHES):
        guard.saw_loss("f", f"t{number}", number * 10.0)
        guard.saw_down(f"t{number}", number * 10.0 + 5.0)
    assert not guard.refuses("f", 40.0)


def test_crashes_that_other_hosts_saw_count(guard: CrashGuard) -> None:
    for number in range(MAX_CRASHES):
        guard.count(CrashReport("f", f"t{number}"), number * 3.0)
    assert guard.refuses("f", MAX_CRASHES * 3.0)


async def _send_until_refused() -> None:
    path = Path(FakeWire(*[LOST] * 20))
    path.wire.healthy = False
    loop = asyncio.get_running_loop()
    for number in range(6):
        outcome = await path.handler.handle(arrived(request_id=str(number)), loop.time())
        await asyncio.sleep(BACK_AFTER_S)
        for target in path.book.by_id.values():
            target.down = False
    path.prober.close()
    assert outcome.error.reason is Reason.REQUEST_CRASHES_UPSTREAMS
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert len(path.wire.sent) <= 2 * MAX_CRASHES
    assert len(path.told) >= MAX_CRASHES


def test_a_request_that_takes_its_targets_down_stops_reaching_them() -> None:
    run_on_injected_time(_send_until_refused())
