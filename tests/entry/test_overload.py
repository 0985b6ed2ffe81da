"""Tests of admission while all targets are busy."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.targets.state import MIN_FAILURES_TO_EJECT
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.entry.harness import SHED
from tests.entry.harness import TIMEOUT
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

SLOTS = 3
RUN_S = 0.02
RUNS = 10


async def harness_with_run_times(*, waiting: int) -> EntryHarness:
    """Return a harness with recorded run times, and ``waiting`` requests queued at each target."""
    harness = EntryHarness(FakeTargetClient())
    for _ in range(RUNS):
        harness.balancer._run_times.record("s", "get", RUN_S)
    for target in harness.targets.by_id.values():
        target.remote_in_flight = SLOTS + waiting
    return harness


@pytest.mark.parametrize(
    ("waiting", "key", "sent"),
    [
        (0, "k", True),
        (1_000, "k", False),
        (1_000, "k-urgent", False),
        (118, "k", False),
        (118, "k-urgent", True),
    ],
)
async def test_late_requests_are_refused_in_order_of_urgency(
    waiting: int, key: str, *, sent: bool
) -> None:
    harness = await harness_with_run_times(waiting=waiting)
    outcome = await harness.handler.handle(incoming(keys=(key,)), asyncio.get_running_loop().time())
    assert bool(harness.client.sent) is sent
    assert outcome.is_ok() is sent


async def test_refusal_for_overload_has_retry_after() -> None:
    harness = await harness_with_run_times(waiting=1_000)
    outcome = await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert outcome.error.reason is Reason.NO_CAPACITY
    assert outcome.error.retry_after_s is not None
    assert outcome.error.retry_after_s > 1.0


async def test_request_is_admitted_while_a_target_has_a_free_slot() -> None:
    harness = await harness_with_run_times(waiting=1_000)
    harness.targets.by_id["t1"].remote_in_flight = SLOTS - 1
    outcome = await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert outcome.is_ok()
    assert harness.client.sent == ["t1"]


@pytest.mark.parametrize(
    ("load_elsewhere", "handled", "sends"),
    [(SLOTS - 1, False, 2), (SLOTS, False, 1), (SLOTS, True, 2)],
)
async def test_request_shed_by_home_is_not_sent_to_a_busy_cold_target(
    load_elsewhere: int, *, handled: bool, sends: int
) -> None:
    harness = EntryHarness(FakeTargetClient(SHED))
    for target in harness.targets.by_id.values():
        target.remote_in_flight = load_elsewhere
        if handled:
            target.record_object("get\00017")
    outcome = await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert len(harness.client.sent) == sends
    assert outcome.is_ok() is (sends == 2)
    if outcome.is_error():
        assert outcome.error.reason is Reason.NO_CAPACITY
        assert outcome.error.verdict is Verdict.NOT_RUN


async def test_request_is_refused_at_queue_position_that_timed_out() -> None:
    harness = EntryHarness(FakeTargetClient(TIMEOUT))
    for target in harness.targets.by_id.values():
        target.remote_in_flight = SLOTS + 3
    now = asyncio.get_running_loop().time
    first = await harness.handler.handle(incoming(), now())
    second = await harness.handler.handle(incoming(), now())
    harness.targets.by_id[harness.client.sent[0]].remote_in_flight = SLOTS - 1
    third = await harness.handler.handle(incoming(), now())
    assert first.error.verdict is Verdict.MAY_HAVE_RUN
    assert second.error.reason is Reason.NO_CAPACITY
    assert third.is_ok()


async def test_timeout_in_queue_does_not_eject_target() -> None:
    harness = EntryHarness(FakeTargetClient(*[TIMEOUT] * MIN_FAILURES_TO_EJECT))
    for target in harness.targets.by_id.values():
        target.remote_in_flight = SLOTS
    for _ in range(MIN_FAILURES_TO_EJECT):
        await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    now = asyncio.get_running_loop().time()
    assert not any(target.is_ejected(now) for target in harness.targets.by_id.values())


async def test_busy_home_overflows_to_target_that_handled_the_object() -> None:
    harness = EntryHarness(FakeTargetClient())
    request = incoming()
    now = asyncio.get_running_loop().time
    await harness.handler.handle(request, now())
    [home] = harness.client.sent
    harness.targets.by_id[home].remote_in_flight = SLOTS + 2
    others = [target for name, target in harness.targets.by_id.items() if name != home]
    await harness.handler.handle(request, now())
    for target in others:
        target.record_object("get\00017")
    await harness.handler.handle(request, now())
    assert harness.client.sent[1] == home
    assert harness.client.sent[2] != home
