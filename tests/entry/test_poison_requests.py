"""Tests of the detection of poison requests, on injected time."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.entry.poison_requests import CRASH_TTL_S
from flamingoladder.entry.poison_requests import MAX_CRASHES
from flamingoladder.entry.poison_requests import PoisonRequestDetector
from flamingoladder.fleet.messages import CrashReport
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.entry.harness import CONNECTION_LOST
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

TARGET_UP_AFTER_S = 2.0


@pytest.fixture
def detector() -> PoisonRequestDetector:
    return PoisonRequestDetector(lambda _: None, Recorder("h0", "i"))


def crash(detector: PoisonRequestDetector, target: str, at: float, fingerprint: str = "f") -> None:
    detector.record_lost_connection(fingerprint, target, at)
    detector.record_target_down(target, at + 0.1)


def test_request_is_poison_after_max_crashes_until_ttl(detector: PoisonRequestDetector) -> None:
    for number in range(MAX_CRASHES):
        assert not detector.is_poison("f", number * 3.0)
        crash(detector, f"t{number}", number * 3.0)
    assert detector.is_poison("f", MAX_CRASHES * 3.0)
    assert not detector.is_poison("other", MAX_CRASHES * 3.0)
    assert not detector.is_poison("f", MAX_CRASHES * 3.0 + CRASH_TTL_S)


def test_simultaneous_target_losses_count_as_one_crash(detector: PoisonRequestDetector) -> None:
    for number in range(6):
        crash(detector, f"t{number}", 1.0 + number / 100)
    assert not detector.is_poison("f", 2.0)


def test_answer_clears_crashes(detector: PoisonRequestDetector) -> None:
    for number in range(MAX_CRASHES):
        crash(detector, f"t{number}", number * 3.0)
    detector.clear("f")
    assert not detector.is_poison("f", MAX_CRASHES * 3.0)


def test_connection_loss_long_before_target_is_down_is_no_crash(
    detector: PoisonRequestDetector,
) -> None:
    for number in range(MAX_CRASHES):
        detector.record_lost_connection("f", f"t{number}", number * 10.0)
        detector.record_target_down(f"t{number}", number * 10.0 + 5.0)
    assert not detector.is_poison("f", 40.0)


def test_crashes_reported_by_other_hosts_count(detector: PoisonRequestDetector) -> None:
    for number in range(MAX_CRASHES):
        detector.count_crash(CrashReport("f", f"t{number}"), number * 3.0)
    assert detector.is_poison("f", MAX_CRASHES * 3.0)


async def _send_until_refused() -> None:
    harness = EntryHarness(FakeTargetClient(*[CONNECTION_LOST] * 20))
    harness.client.healthy = False
    loop = asyncio.get_running_loop()
    for number in range(6):
        outcome = await harness.handler.handle(incoming(request_id=str(number)), loop.time())
        await asyncio.sleep(TARGET_UP_AFTER_S)
        for target in harness.targets.by_id.values():
            target.down = False
    harness.prober.close()
    assert outcome.error.reason is Reason.REQUEST_CRASHES_UPSTREAMS
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert len(harness.client.sent) <= 2 * MAX_CRASHES
    assert len(harness.broadcast) >= MAX_CRASHES


def test_poison_request_is_refused_and_crashes_are_broadcast() -> None:
    run_on_injected_time(_send_until_refused())
