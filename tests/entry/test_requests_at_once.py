"""Tests of requests that arrive at a host at the same moment."""

from __future__ import annotations

import asyncio
from collections import Counter

from flamingoladder.entry.request import RoutedRequest
from flamingoladder.entry.target_choice import Choice
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

REQUESTS = 9


def _harness_with_warm_targets() -> EntryHarness:
    harness = EntryHarness(FakeTargetClient())
    for target in harness.targets.by_id.values():
        target.record_object("get\00017")
    return harness


def _spread_of_requests_one_by_one() -> Counter[str]:
    harness = _harness_with_warm_targets()
    now = asyncio.get_running_loop().time()
    sent: Counter[str] = Counter()
    for number in range(REQUESTS):
        admitted = harness.handler._admit(incoming(request_id=str(number)), now, now)
        assert isinstance(admitted, RoutedRequest)
        choice = harness.balancer.choose(admitted, (), now)
        assert isinstance(choice, Choice)
        harness.balancer.count_send(choice.target, now)
        sent[choice.target.record.target_id] += 1
    return sent


async def test_requests_are_counted_before_the_next_one_chooses() -> None:
    """They all took the same free slot, as a send was counted only once its task had started."""
    harness = _harness_with_warm_targets()
    harness.client.work_s = 0.05
    requests = [incoming(request_id=str(number)) for number in range(REQUESTS)]
    now = asyncio.get_running_loop().time()
    await asyncio.gather(*(harness.handler.handle(one, now) for one in requests))
    spread = Counter(harness.client.sent)
    assert spread == _spread_of_requests_one_by_one()
    assert len(spread) > 1


async def test_cold_targets_get_no_more_than_their_allowance_at_once() -> None:
    harness = EntryHarness(FakeTargetClient())
    for target_id in list(harness.targets.by_id):
        harness.targets.remove(target_id, "test")
    harness.add("cold", slow_start_s=3.0)
    requests = [incoming(request_id=str(number)) for number in range(30)]
    now = asyncio.get_running_loop().time()
    outcomes = await asyncio.gather(*(harness.handler.handle(one, now) for one in requests))
    assert len(harness.client.sent) == sum(outcome.is_ok() for outcome in outcomes) <= 7


async def test_a_send_that_is_cancelled_is_no_longer_counted() -> None:
    harness = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time()
    admitted = harness.handler._admit(incoming(), now, now)
    assert isinstance(admitted, RoutedRequest)
    task = asyncio.create_task(harness.handler._forwarder.forward(admitted))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0)
    assert all(target.in_flight == 0 for target in harness.targets.by_id.values())
