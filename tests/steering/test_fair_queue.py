"""Tests of the order in which queued requests are served."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.steering.chooser import Reservation
from flamingoladder.steering.fair_queue import FairQueue
from flamingoladder.steering.fair_queue import QueuedRequest
from flamingoladder.steering.fair_queue import Weight
from tests.upstreams.dispatcher_fixture import request_for

WEIGHTS = {"large": Weight(100.0, 50), "middle": Weight(50.0, 25), "small": Weight(4.0, 4)}


class StubReservation(Reservation):
    """A reservation without a target."""

    target = ""
    address = ""
    region = ""

    def release(self, outcome: AttemptOutcome, now: float) -> None:
        """Do nothing."""


def _enqueue(queue: FairQueue, workspace: str, count: int) -> list[QueuedRequest]:
    queued_requests = []
    for _ in range(count):
        request = request_for()
        request.workspace = workspace
        queued_requests.append(queue.enqueue(request, (), WEIGHTS[workspace], 0.0))
    return queued_requests


def _serve(queue: FairQueue, count: int) -> list[str]:
    served = []
    for _ in range(count):
        for queued in queue.in_order():
            queue.grant(queued, StubReservation())
            served.append(queued.workspace)
            break
    return served


@pytest.mark.parametrize("flood", [1_000, 5_000])
def test_queued_workspaces_are_served_in_proportion_to_their_rates(flood: int) -> None:
    async def scenario() -> Counter[str]:
        queue = FairQueue()
        for workspace in WEIGHTS:
            _enqueue(queue, workspace, flood if workspace == "large" else 1_000)
        _serve(queue, 500)
        return Counter(_serve(queue, 462))

    served = run_on_injected_time(scenario())
    for workspace, weight in WEIGHTS.items():
        assert served[workspace] == pytest.approx(3 * weight.rate_per_s, abs=2)


def test_a_small_workspace_within_its_burst_is_served_before_a_flood() -> None:
    async def scenario() -> list[str]:
        queue = FairQueue()
        _enqueue(queue, "large", 1_000)
        _serve(queue, 500)
        _enqueue(queue, "small", 3)
        return _serve(queue, 3)

    assert run_on_injected_time(scenario()) == ["small"] * 3


def test_cancelled_requests_are_not_charged() -> None:
    async def scenario() -> list[str]:
        queue = FairQueue()
        _enqueue(queue, "large", 1_000)
        _serve(queue, 500)
        for queued in _enqueue(queue, "small", 100):
            queue.cancel(queued, WEIGHTS["small"])
        _enqueue(queue, "small", 1)
        return _serve(queue, 1)

    assert run_on_injected_time(scenario()) == ["small"]


def test_a_request_whose_caller_has_disconnected_is_skipped() -> None:
    async def scenario() -> tuple[list[str], int]:
        queue = FairQueue()
        queued_requests = _enqueue(queue, "large", 1)
        _enqueue(queue, "middle", 1)
        queued_requests[0].reservation.cancel()
        queue.cancel(queued_requests[0], WEIGHTS["large"])
        await asyncio.sleep(0)
        return _serve(queue, 2), len(queue)

    assert run_on_injected_time(scenario()) == (["middle"], 0)
