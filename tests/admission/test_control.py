"""Tests of requests that wait at a host, through its request handler."""

from __future__ import annotations

import asyncio
from statistics import median
from time import perf_counter
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.entry.load_balancer import Choice
from flamingoladder.entry.metrics import EntryMetrics
from flamingoladder.entry.request import RoutedRequest
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming
from tests.entry.harness import routing_config

if TYPE_CHECKING:
    from flamingoladder.routing.model import RoutingConfig
    from flamingoladder.verdict import Outcome

SLOTS = 3
RUN_S = 0.2
RUNS = 20
COST_RUNS = 300
MAX_ADDED_S = 0.0001
SOON_S = 0.1


def with_urgent_route() -> RoutingConfig:
    """Return a configuration in which the route "open" is more urgent than the others."""
    routing = routing_config()
    [(host, routes)] = routing.routes_by_host.items()
    urgent = msgspec.structs.replace(routes[-1], priority=0, latency_slo_s=0.25)
    return msgspec.structs.replace(routing, routes_by_host={host: (*routes[:-1], urgent)})


def set_load(harness: EntryHarness, load: int) -> None:
    for target in harness.targets.by_id.values():
        target.remote_in_flight = load


def busy_harness() -> EntryHarness:
    """Return a host at which all but the requests of the route "open" wait."""
    harness = EntryHarness(FakeTargetClient(), with_urgent_route())
    for _ in range(RUNS):
        harness.balancer._run_times.record("s", "open", RUN_S)
    now = asyncio.get_running_loop().time()
    harness.admission._admission_of("s", now).record_run(RUN_S)
    set_load(harness, SLOTS + 2)
    return harness


def start(harness: EntryHarness, path: str = "/get/1", key: str = "k") -> asyncio.Task[Outcome]:
    now = asyncio.get_running_loop().time()
    request = incoming(path, keys=(key,), caller_timeout_s=1.0)
    return asyncio.create_task(harness.handler.handle(request, now))


def queued(harness: EntryHarness) -> int:
    return sum(harness.admission.queued_by_workspace.values())


async def test_request_waits_until_a_target_has_room_and_a_more_urgent_one_does_not() -> None:
    harness = busy_harness()
    waiting = start(harness)
    urgent = await start(harness, "/open/1", key="")
    assert urgent.is_ok()
    assert not waiting.done()
    assert harness.admission.queued_by_workspace == {"turf": 1}
    set_load(harness, SLOTS - 1)
    harness.admission.drain()
    assert (await waiting).is_ok()
    assert queued(harness) == 0
    assert harness.targets.by_id["t0"].in_flight == 0


async def test_single_rank_sends_to_queues_of_targets_as_before() -> None:
    """Guards against a change for deployments that have nothing more urgent to protect."""
    harness = EntryHarness(FakeTargetClient())
    harness.admission._admission_of("s", 0.0).record_run(RUN_S)
    set_load(harness, SLOTS + 2)
    assert (await asyncio.wait_for(start(harness), SOON_S)).is_ok()


async def test_with_free_slots_nothing_queues_and_little_is_added_to_the_cost() -> None:
    """Guards against a queue, or a price of one, where nothing is busy."""
    harness = busy_harness()
    set_load(harness, 0)
    outcomes = await asyncio.gather(*(start(harness) for _ in range(SLOTS)))
    assert all(of.is_ok() for of in outcomes)
    assert not [of for of in harness.recorder.since(0) if of.kind == "queue.began"]
    choose_s, admit_s = [], []
    for _ in range(COST_RUNS):
        request = harness.handler._admit(incoming(), 0.0, 0.0)
        assert isinstance(request, RoutedRequest)
        begun = perf_counter()
        harness.balancer.choose(request, (), 0.0)
        chosen = perf_counter()
        place = await harness.admission.admit(harness.admission.arrive(request, 0.0), ())
        choose_s.append(chosen - begun)
        admit_s.append(perf_counter() - chosen)
        assert isinstance(place, Choice)
        harness.admission.release(place)
    assert median(admit_s) - median(choose_s) < MAX_ADDED_S


@pytest.mark.parametrize("path", ["/get/1", "/book/1"])
async def test_request_whose_caller_left_leaves_the_queue_soon(path: str) -> None:
    """Guards against slots for nobody; a request that is not idempotent is not cancelled."""
    harness = busy_harness()
    task = start(harness, path)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert queued(harness) == 1
    task.cancel()
    await asyncio.sleep(SOON_S)
    assert queued(harness) == 0
    set_load(harness, 0)
    harness.admission.drain()
    await asyncio.sleep(SOON_S)
    assert harness.client.sent == []


async def test_caller_that_leaves_as_it_gets_its_place_gives_it_back() -> None:
    """Guards against a target that seems to be busy for ever."""
    harness = busy_harness()
    task = start(harness)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    set_load(harness, 0)
    harness.admission.drain()
    task.cancel()
    await asyncio.sleep(SOON_S)
    assert [of.in_flight for of in harness.targets.by_id.values()] == [0, 0, 0]
    assert harness.client.sent == []


@pytest.mark.parametrize(("stops", "reason"), [(True, "host_leaving"), (False, "no_capacity")])
async def test_refused_requests_have_not_run_and_get_their_rate_token_back(
    reason: str, *, stops: bool
) -> None:
    """Guards against a stop that cuts queued requests, and against tokens for nothing."""
    harness = busy_harness()
    task = start(harness, key="k-small")
    await asyncio.sleep(0.01)
    begun = asyncio.get_running_loop().time()
    if stops:
        harness.admission.stop()
    outcome = await task
    assert asyncio.get_running_loop().time() - begun < (SOON_S if stops else 1.0)
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert outcome.error.reason is Reason(reason)
    assert outcome.error.retry_after_s is not None
    assert harness.client.sent == []
    set_load(harness, 0)
    assert (await start(harness, key="k-small")).is_ok()


async def test_metrics_tell_queued_requests_by_workspace_and_refusals_by_reason() -> None:
    """Guards against labels without bound."""
    harness = busy_harness()
    metrics = EntryMetrics(lambda: 0.0)
    metrics.watch_queues(harness.admission)
    tasks = [start(harness), start(harness, key="k-small")]
    await asyncio.sleep(0.01)
    text = metrics.text().decode()
    assert 'flamingoladder_queued_requests{workspace="turf"} 1.0' in text
    harness.admission.stop()
    await asyncio.gather(*tasks)
    text = metrics.text().decode()
    assert 'flamingoladder_busy_refusals_total{reason="stopping"} 2.0' in text
    assert "flamingoladder_queued_requests{" not in text
