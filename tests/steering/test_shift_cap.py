"""Tests that shifted traffic stays under the shift's cap, counted at the receiving region."""

from __future__ import annotations

import asyncio
from math import inf
from random import Random
from typing import TYPE_CHECKING

import pytest
from bench.limits import largest_excess
from bench.steering_fleet import SteeringFleet
from bench.steering_fleet import example
from bench.steering_fleet import first_state
from bench.steering_fleet import next_state

from flamingoladder.config.agreed import Shift
from flamingoladder.peers.link import Peer
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.state import SettableState
from flamingoladder.steering.shift_cap import BURST_S
from flamingoladder.steering.shift_cap import ShiftCaps

if TYPE_CHECKING:
    from bench.steering_fleet import Sent

START_S = 8.0
SECONDS = 10.0
REQUESTS_PER_S = 100.0
SERVICE_TIME_S = 0.04
CAP_PER_S = 20.0
LONG_WAIT_S = 1_000.0


async def _run(name: str, share: float, *, lose: bool = False) -> list[Sent]:
    """Send a third of the capacity to the first region's hosts; a shift moves a share of it."""
    fleet = SteeringFleet(example(name), 1, service_s=SERVICE_TIME_S)
    regions = list(fleet.deployment.places.regions)
    service = next(iter(fleet.deployment.services))
    shift = Shift("s1", service, regions[0], regions[1], share, CAP_PER_S, "works")
    random = Random(5)
    hosts = [member.host for member in fleet.agreed.members if member.region == regions[0]]
    await asyncio.sleep(START_S)
    fleet.commit(divides=False, shifts=(shift,))
    at = START_S
    sends = []
    while at < START_S + SECONDS:
        at += random.expovariate(REQUESTS_PER_S)
        sends.append(fleet.send(random.choice(hosts), service, "lava-fields", at))
    if lose:
        loop = asyncio.get_running_loop()
        loop.call_later(SECONDS / 3, lambda: fleet.lose({hosts[0]}))
    await asyncio.gather(*sends)
    fleet.close()
    # Requests that callers send to a host of another region, as after a loss, aren't shifted.
    return [sent for sent in fleet.sent if sent.region == regions[1] and sent.host in hosts]


@pytest.mark.parametrize("name", ["tjaldvik", "kalahari"])
@pytest.mark.parametrize("lose", [False, True])
def test_shifted_traffic_of_all_hosts_stays_under_the_cap(name: str, lose: bool) -> None:
    moved = run_on_injected_time(_run(name, 1.0, lose=lose))
    burst = CAP_PER_S * BURST_S
    assert largest_excess([sent.started_at for sent in moved], CAP_PER_S, burst) <= 0
    assert len(moved) > CAP_PER_S


def test_a_share_grows_only_when_no_earlier_owner_can_spend_it() -> None:
    async def scenario() -> tuple[str | None, str | None, str | None]:
        loop = asyncio.get_running_loop()
        state = first_state(example("tjaldvik"))
        shift = Shift("s1", "catalogue", "reykjavik", "akureyri", 1.0, CAP_PER_S, "works")
        started = next_state(state, divides=False, shifts=(shift,))
        in_force = SettableState(started)
        caps = ShiftCaps(Peer("h0", "h0-1"), "reykjavik", in_force, Random(1))
        caps.update(started)
        await asyncio.sleep(0.9 * state.deployment.defaults.proof_s)
        early = caps.draw_region("catalogue", loop.time())
        await asyncio.sleep(state.deployment.defaults.proof_s)
        return (
            early,
            caps.draw_region("catalogue", loop.time()),
            caps.draw_region("returns", loop.time()),
        )

    assert run_on_injected_time(scenario()) == (None, "akureyri", None)


def test_no_more_than_the_shifts_share_is_moved() -> None:
    moved = run_on_injected_time(_run("tjaldvik", 0.05))
    assert 0 < len(moved) < 0.1 * REQUESTS_PER_S * SECONDS


def test_a_share_does_not_grow_before_the_division_has_settled() -> None:
    async def scenario() -> list[str | None]:
        loop = asyncio.get_running_loop()
        state = first_state(example("tjaldvik"))
        shift = Shift("s1", "catalogue", "reykjavik", "akureyri", 1.0, CAP_PER_S, "works")
        started = next_state(state, divides=False, shifts=(shift,))
        in_force = SettableState(started)
        in_force.settles_at = inf
        caps = ShiftCaps(Peer("h0", "h0-1"), "reykjavik", in_force, Random(1))
        caps.update(started)
        await asyncio.sleep(LONG_WAIT_S)
        drawn = [caps.draw_region("catalogue", loop.time())]
        in_force.settles_at = loop.time()
        caps.update(started)
        await asyncio.sleep(LONG_WAIT_S)
        return [*drawn, caps.draw_region("catalogue", loop.time())]

    assert run_on_injected_time(scenario()) == [None, "akureyri"]
