"""Tests of what is refused when all targets are busy."""

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


async def path_with_run_times(*, in_line: int) -> EntryHarness:
    """Return a path whose host knows how long runs take, with all targets busy."""
    path = EntryHarness(FakeTargetClient())
    for _ in range(RUNS):
        path.balancer._run_times.record("s", "get", RUN_S)
    for target in path.targets.by_id.values():
        target.remote_in_flight = SLOTS + in_line
    return path


@pytest.mark.parametrize(
    ("in_line", "key", "sent"),
    [
        (0, "k", True),
        (1_000, "k", False),
        (1_000, "k-urgent", False),
        (118, "k", False),
        (118, "k-urgent", True),
    ],
)
async def test_the_least_urgent_are_refused_first_when_they_would_be_late(
    in_line: int, key: str, *, sent: bool
) -> None:
    path = await path_with_run_times(in_line=in_line)
    outcome = await path.handler.handle(incoming(keys=(key,)), asyncio.get_running_loop().time())
    assert bool(path.client.sent) is sent
    assert outcome.is_ok() is sent


async def test_a_refusal_comes_at_once_and_tells_when_to_come_back() -> None:
    path = await path_with_run_times(in_line=1_000)
    outcome = await path.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert outcome.error.reason is Reason.NO_CAPACITY
    assert outcome.error.retry_after_s is not None
    assert outcome.error.retry_after_s > 1.0


async def test_nothing_is_refused_while_a_target_has_a_free_slot() -> None:
    path = await path_with_run_times(in_line=1_000)
    path.targets.by_id["t1"].remote_in_flight = SLOTS - 1
    outcome = await path.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert outcome.is_ok()
    assert path.client.sent == ["t1"]


@pytest.mark.parametrize(
    ("load_elsewhere", "handled", "sends"),
    [(SLOTS - 1, False, 2), (SLOTS, False, 1), (SLOTS, True, 2)],
)
async def test_what_its_home_shed_makes_no_busy_target_run_it_cold(
    load_elsewhere: int, *, handled: bool, sends: int
) -> None:
    path = EntryHarness(FakeTargetClient(SHED))
    for target in path.targets.by_id.values():
        target.remote_in_flight = load_elsewhere
        if handled:
            target.record_object("get\00017")
    outcome = await path.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert len(path.client.sent) == sends
    assert outcome.is_ok() is (sends == 2)
    if outcome.is_error():
        assert outcome.error.reason is Reason.NO_CAPACITY
        assert outcome.error.verdict is Verdict.NOT_RUN


async def test_no_line_grows_as_long_as_one_in_which_a_request_waited_in_vain() -> None:
    path = EntryHarness(FakeTargetClient(TIMEOUT))
    for target in path.targets.by_id.values():
        target.remote_in_flight = SLOTS + 3
    now = asyncio.get_running_loop().time
    first = await path.handler.handle(incoming(), now())
    second = await path.handler.handle(incoming(), now())
    path.targets.by_id[path.client.sent[0]].remote_in_flight = SLOTS - 1
    third = await path.handler.handle(incoming(), now())
    assert first.error.verdict is Verdict.MAY_HAVE_RUN
    assert second.error.reason is Reason.NO_CAPACITY
    assert third.is_ok()


async def test_a_wait_in_line_does_not_eject_a_target() -> None:
    path = EntryHarness(FakeTargetClient(*[TIMEOUT] * MIN_FAILURES_TO_EJECT))
    for target in path.targets.by_id.values():
        target.remote_in_flight = SLOTS
    for _ in range(MIN_FAILURES_TO_EJECT):
        await path.handler.handle(incoming(), asyncio.get_running_loop().time())
    now = asyncio.get_running_loop().time()
    assert not any(target.is_ejected(now) for target in path.targets.by_id.values())


async def test_a_target_that_handled_the_object_relieves_a_busy_home() -> None:
    path = EntryHarness(FakeTargetClient())
    request = incoming()
    now = asyncio.get_running_loop().time
    await path.handler.handle(request, now())
    [home] = path.client.sent
    path.targets.by_id[home].remote_in_flight = SLOTS + 2
    others = [target for name, target in path.targets.by_id.items() if name != home]
    await path.handler.handle(request, now())
    for target in others:
        target.record_object("get\00017")
    await path.handler.handle(request, now())
    assert path.client.sent[1] == home
    assert path.client.sent[2] != home
