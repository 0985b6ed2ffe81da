"""Tests of the baseline choice of a target."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from bench.least_in_flight import LeastInFlight

from flamingoladder.config.agreed import Drain
from flamingoladder.config.agreed import DrainKind
from flamingoladder.config.model import Target
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.steering.chooser import Reservation
from flamingoladder.upstreams.health import HealthBoard
from flamingoladder.upstreams.probe_messages import ProbeReply
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from tests.gateway.states import FixedState
from tests.gateway.states import agreed
from tests.upstreams.dispatcher_fixture import request_for

TARGETS = {
    "n1": Target(address="127.0.0.1:1", failure_domain="north-a", slots=2),
    "n2": Target(address="127.0.0.1:2", failure_domain="north-a", slots=2),
    "s1": Target(address="127.0.0.1:3", failure_domain="south-a", slots=2),
}


async def _names(chooser: LeastInFlight, count: int) -> list[str]:
    held = [await chooser.reserve(request_for(), (), 0.0) for _ in range(count)]
    return [slot.target for slot in held if isinstance(slot, Reservation)]


def test_own_region_first_then_least_in_flight_then_the_others() -> None:
    async def scenario() -> None:
        chooser = LeastInFlight(FixedState(agreed(TARGETS)), HealthBoard(), "north", Random(1))
        names = await _names(chooser, 6)
        assert sorted(names[:2]) == ["desk/n1", "desk/n2"]
        assert sorted(names[2:4]) == ["desk/n1", "desk/n2"]
        assert names[4:] == ["desk/s1", "desk/s1"]

    run_on_injected_time(scenario())


@pytest.mark.parametrize(
    "drain",
    [
        Drain(DrainKind.TARGET, "desk/n1", "works"),
        Drain(DrainKind.FAILURE_DOMAIN, "north-a", "works"),
    ],
)
def test_a_drained_target_gets_no_new_work(drain: Drain) -> None:
    async def scenario() -> None:
        state = FixedState(agreed(TARGETS))
        chooser = LeastInFlight(state, HealthBoard(), "north", Random(1))
        state.set(drains=(drain,))
        assert "desk/n1" not in await _names(chooser, 2)

    run_on_injected_time(scenario())


def test_a_request_waits_for_a_slot_until_its_deadline() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        chooser = LeastInFlight(
            FixedState(agreed({"n1": TARGETS["n1"]})), HealthBoard(), "north", Random(1)
        )
        held = [await chooser.reserve(request_for(), (), 0.0) for _ in range(2)]
        waiting = asyncio.create_task(chooser.reserve(request_for(deadline_s=5.0), (), 0.0))
        await asyncio.sleep(1.0)
        assert not waiting.done()
        assert isinstance(held[0], Reservation)
        held[0].release(AttemptOutcome.ANSWERED, loop.time())
        assert isinstance(await waiting, Reservation)
        late = await chooser.reserve(request_for(deadline_s=2.0), (), loop.time())
        assert isinstance(late, Refusal)
        assert late.reason is Reason.NO_CAPACITY
        assert loop.time() == pytest.approx(3.0)

    run_on_injected_time(scenario())


def test_when_every_health_endpoint_says_no_targets_are_tried_all_the_same() -> None:
    async def scenario() -> None:
        board = HealthBoard()
        chooser = LeastInFlight(FixedState(agreed(TARGETS)), board, "north", Random(1))
        for name in TARGETS:
            board.of(f"desk/{name}").record_probe(ProbeReply(False))
        assert len(await _names(chooser, 1)) == 1

    run_on_injected_time(scenario())
