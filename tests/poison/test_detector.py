"""Tests of the detection of poison requests, on injected time."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.entry.target_ends import start_of as start_at
from flamingoladder.poison.at_work import TargetStart
from flamingoladder.poison.detector import MAX_CAUSES
from flamingoladder.poison.detector import SILENT_AFTER_S
from flamingoladder.poison.detector import PoisonDetector
from flamingoladder.poison.history import MIN_QUARANTINE_S
from flamingoladder.poison.history import RECORD_TTL_S
from flamingoladder.poison.history import TRIAL_S
from flamingoladder.poison.history import Status
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.entry.harness import CONNECTION_LOST
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import RecordingPoisonExchange
from tests.entry.harness import incoming

TARGET_UP_AFTER_S = 2.0
REQUEST = (1, 2, 3)
ANOTHER_CALLERS = (1, 2, 4)


@pytest.fixture
def exchange() -> RecordingPoisonExchange:
    return RecordingPoisonExchange()


@pytest.fixture
def detector(exchange: RecordingPoisonExchange) -> PoisonDetector:
    return PoisonDetector(exchange, Recorder("h0", "i"), lambda: 0.0)


def start_of(target: str, incarnation: int = 1) -> TargetStart:
    return TargetStart(target, incarnation, target)


def crash(detector: PoisonDetector, target: str, at: float, after_s: float = 0.1) -> None:
    work = detector.begin(REQUEST, start_of(target), at - 0.02)
    detector.lost(work, at)
    detector.target_ended(work.start, at + after_s, is_gone=False)


def crash_all(detector: PoisonDetector, every_s: float = 3.0) -> float:
    for number in range(MAX_CAUSES):
        assert detector.standing(REQUEST, number * every_s).status is not Status.CONDEMNED
        crash(detector, f"t{number}", number * every_s)
    return MAX_CAUSES * every_s


def test_request_is_condemned_after_max_causes_until_its_quarantine_ends(
    detector: PoisonDetector,
) -> None:
    now = crash_all(detector)
    assert detector.standing(REQUEST, now).status is Status.CONDEMNED
    assert detector.standing((9,), now).status is Status.FREE
    assert detector.standing(REQUEST, now + MIN_QUARANTINE_S).status is not Status.CONDEMNED
    detector.expire(now + RECORD_TTL_S)
    assert detector.standing(REQUEST, now + RECORD_TTL_S).status is Status.FREE


def test_ends_of_targets_of_one_domain_at_one_moment_count_as_one(
    detector: PoisonDetector,
) -> None:
    for number in range(6):
        work = detector.begin(REQUEST, TargetStart(f"t{number}", 1, "d"), 0.9)
        detector.lost(work, 1.0 + number / 100)
        detector.target_ended(work.start, 1.1 + number / 100)
    assert detector.standing(REQUEST, 2.0).causes == 1


def test_later_answer_clears_the_request(detector: PoisonDetector) -> None:
    now = crash_all(detector)
    work = detector.begin(REQUEST, start_of("t9"), now)
    detector.answered(work, now + 0.1)
    assert detector.standing(REQUEST, now + 0.1).status is Status.FREE


def test_answer_to_another_caller_clears_only_what_both_share(detector: PoisonDetector) -> None:
    now = crash_all(detector)
    work = detector.begin(ANOTHER_CALLERS, start_of("t9"), now)
    detector.answered(work, now + 0.1)
    assert detector.standing(REQUEST, now + 0.1).status is Status.CONDEMNED
    assert detector.standing(ANOTHER_CALLERS, now + 0.1).status is Status.FREE


def test_connection_loss_long_before_target_is_down_is_no_crash(detector: PoisonDetector) -> None:
    for number in range(MAX_CAUSES):
        crash(detector, f"t{number}", number * 10.0, after_s=5.0)
    assert detector.standing(REQUEST, 40.0).status is Status.FREE


@pytest.mark.parametrize("is_gone", [True, False])
def test_open_request_explains_the_end_of_a_start_that_is_gone(
    detector: PoisonDetector, *, is_gone: bool
) -> None:
    work = detector.begin(REQUEST, start_of("t0"), 1.0)
    detector.abandon(work, 2.0)
    detector.target_ended(start_of("t0", incarnation=2), 3.0)
    detector.target_ended(start_of("t0"), 3.0, is_gone=is_gone)
    assert detector.standing(REQUEST, 3.0).causes == int(is_gone)


def test_what_other_hosts_tell_counts(
    detector: PoisonDetector, exchange: RecordingPoisonExchange
) -> None:
    now = crash_all(detector)
    told = PoisonDetector(RecordingPoisonExchange(), Recorder("h1", "i"), lambda: 0.0)
    for report in exchange.sent:
        told.learn(report, now)
    assert told.standing(REQUEST, now).status is Status.CONDEMNED
    asked = PoisonDetector(RecordingPoisonExchange(), Recorder("h2", "i"), lambda: 0.0)
    asked.learn(detector.report(now, everything=True), now)
    assert asked.standing(REQUEST, now).status is Status.CONDEMNED


def test_suspect_is_tried_once_at_a_time_by_all_hosts(
    detector: PoisonDetector, exchange: RecordingPoisonExchange
) -> None:
    other = PoisonDetector(RecordingPoisonExchange(), Recorder("h1", "i"), lambda: 0.0)
    crash(detector, "t0", 0.0)
    crash(detector, "t1", 3.0)
    assert detector.standing(REQUEST, 4.0).wait_s == 0.0
    work = detector.begin(REQUEST, start_of("t2"), 4.0)
    for report in exchange.sent:
        other.learn(report, 4.0)
    assert detector.standing(REQUEST, 4.1).wait_s > 0.0
    assert other.standing(REQUEST, 4.1).wait_s > 0.0
    assert other.standing(REQUEST, 4.0 + TRIAL_S).wait_s <= 0.0
    detector.answered(work, 4.2)
    assert detector.standing(REQUEST, 4.2).status is Status.FREE


def test_silence_is_noticed_behind_a_request_that_is_older(detector: PoisonDetector) -> None:
    detector.begin((7, 8, 9), start_of("t0"), 0.0)
    detector.at_work.note_heard("t0", 0.5)
    later = detector.begin(REQUEST, start_of("t0"), 0.7)
    assert list(detector.at_work.unanswered(2.0, SILENT_AFTER_S)) == []
    assert list(detector.at_work.unanswered(2.2, SILENT_AFTER_S)) == [later]


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
    assert len(harness.client.sent) <= 2 * MAX_CAUSES
    assert isinstance(harness.poison_exchange, RecordingPoisonExchange)
    assert sum(bool(report.ends) for report in harness.poison_exchange.sent) >= MAX_CAUSES


def test_poison_request_is_refused_and_crashes_are_broadcast() -> None:
    run_on_injected_time(_send_until_refused())


async def _refused_while_others_are_at_work() -> int:
    """Return the ends that are told when a target with too many connections resets new ones."""
    harness = EntryHarness(FakeTargetClient(CONNECTION_LOST))
    loop = asyncio.get_running_loop()
    target = harness.targets.by_id["t0"]
    harness.poison_detector.begin(REQUEST, start_at(target), loop.time())
    harness.client.healthy = False
    harness.prober.check(target)
    await asyncio.sleep(1.0)
    harness.prober.close()
    assert isinstance(harness.poison_exchange, RecordingPoisonExchange)
    return sum(len(report.ends) for report in harness.poison_exchange.sent)


def test_probe_that_is_refused_is_no_end_for_requests_with_open_connections() -> None:
    assert run_on_injected_time(_refused_while_others_are_at_work()) == 0
