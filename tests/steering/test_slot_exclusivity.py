"""Tests that only one host uses a slot at a time, and that lent and lost slots are reclaimed."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.steering.chooser import Reservation
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from tests.steering.chaos_fleet import DEADLINE_S
from tests.steering.chaos_fleet import PROOF_S
from tests.steering.chaos_fleet import ChaosFleet
from tests.steering.chaos_fleet import member
from tests.upstreams.dispatcher_fixture import request_for

if TYPE_CHECKING:
    from collections.abc import Awaitable

# Time until the slots of a new division are usable.
SETTLED_S = PROOF_S + DEADLINE_S + 0.5
# Random changes are numbered from 2 to below this; a restarted host gets the number as incarnation.
CHANGES = 24
HOSTS = 5
LONG_WAIT_S = 1_000.0
SEEDS = 8
# Longer than a lease term.
LEASE_EXPIRY_WAIT_S = DEADLINE_S + 4.0


async def _send_requests(fleet: ChaosFleet, host: str, until: float) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < until and host in fleet.hosts:
        fleet.start_task(fleet.send_request(host, fleet.random.uniform(0.0, DEADLINE_S)))
        await asyncio.sleep(fleet.random.expovariate(8.0))


async def _restart(fleet: ChaosFleet, index: int, incarnation: int) -> None:
    fleet.hosts.pop(f"h{index}").chooser.close()
    fleet.network.leave(f"h{index}")
    await asyncio.sleep(fleet.random.uniform(0.0, 1.0))
    restarted = member(index, incarnation)
    others = tuple(existing for existing in fleet.agreed.members if existing.host != restarted.host)
    fleet.commit(max_delay_s=1.5, members=(*others, restarted))
    fleet.start(restarted)


async def _make_random_change(fleet: ChaosFleet, incarnation: int) -> None:
    draw = fleet.random.random()
    index = fleet.random.randrange(HOSTS)
    members = {existing.host: existing for existing in fleet.agreed.members}
    if draw < 0.2:
        await _restart(fleet, index, incarnation)
    elif draw < 0.4:
        fleet.commit(max_delay_s=1.5)
    elif f"h{index}" in members and len(members) > 2:
        del members[f"h{index}"]
        fleet.commit(max_delay_s=1.5, members=tuple(members.values()))
    else:
        members[f"h{index}"] = fleet.hosts[f"h{index}"].member
        fleet.commit(max_delay_s=1.5, members=tuple(members.values()))
    hosts = tuple(fleet.hosts)
    for pair in ((a, b) for a in hosts for b in hosts):
        fleet.network.delays_by_pair[pair] = fleet.random.choice((0.001, 0.02, 0.2))
    one, other = fleet.random.choices(hosts, k=2)
    cuts = {(one, other), (other, one)}
    fleet.network.cuts = cuts if fleet.random.random() < 0.5 else set()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_target_exceeds_its_slots_on_loss_delay_or_restart(seed: int) -> None:
    async def scenario() -> ChaosFleet:
        loop = asyncio.get_running_loop()
        fleet = ChaosFleet(seed, loss=0.1, hosts=HOSTS)
        for incarnation in range(2, CHANGES):
            for host in tuple(fleet.hosts):
                fleet.start_task(_send_requests(fleet, host, loop.time() + 1.0))
            await _make_random_change(fleet, incarnation)
            await asyncio.sleep(fleet.random.choice((0.1, 1.0, 3.0)))
        fleet.close()
        return fleet

    fleet = run_on_injected_time(scenario())
    assert fleet.overloaded == []
    assert fleet.served.total() > CHANGES


def _count_reserved(results: list[Reservation | Refusal]) -> int:
    return sum(isinstance(result, Reservation) for result in results)


async def _reserve(fleet: ChaosFleet, host: str, count: int) -> list[Reservation | Refusal]:
    loop = asyncio.get_running_loop()
    chooser = fleet.hosts[host].chooser
    reservations: list[Awaitable[Reservation | Refusal]] = [
        chooser.reserve(request_for(deadline_s=DEADLINE_S), (), loop.time()) for _ in range(count)
    ]
    return list(await asyncio.gather(*reservations))


def test_one_host_can_use_every_slot_of_all_regions() -> None:
    async def scenario() -> int:
        fleet = ChaosFleet(1)
        await asyncio.sleep(SETTLED_S)
        held = _count_reserved(await _reserve(fleet, "h0", 6))
        fleet.close()
        return held

    assert run_on_injected_time(scenario()) == 6


def test_a_slot_is_used_only_once_the_division_has_settled() -> None:
    async def scenario() -> list[int]:
        fleet = ChaosFleet(1, settles_at=inf)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(LONG_WAIT_S)
        held = [_count_reserved(await _reserve(fleet, "h0", 6))]
        for host in fleet.hosts.values():
            host.state.settle(loop.time())
        await asyncio.sleep(SETTLED_S)
        held.append(_count_reserved(await _reserve(fleet, "h0", 6)))
        fleet.close()
        return held

    assert run_on_injected_time(scenario()) == [0, 6]


def test_a_host_without_proof_refuses_requests() -> None:
    async def scenario() -> Refusal | Reservation:
        fleet = ChaosFleet(1)
        await asyncio.sleep(SETTLED_S)
        fleet.hosts["h0"].state.proven = False
        result = (await _reserve(fleet, "h0", 1))[0]
        fleet.close()
        return result

    result = run_on_injected_time(scenario())
    assert isinstance(result, Refusal)
    assert result.reason is Reason.NO_PROOF


def test_a_queued_request_gets_no_slot_after_the_proof_has_expired() -> None:
    async def scenario() -> int:
        fleet = ChaosFleet(1)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SETTLED_S)
        first = await _reserve(fleet, "h0", 6)
        waiting = asyncio.create_task(_reserve(fleet, "h0", 1))
        await asyncio.sleep(0.1)
        fleet.hosts["h0"].state.proven = False
        for result in first:
            assert isinstance(result, Reservation)
            result.release(AttemptOutcome.ANSWERED, loop.time())
        held = _count_reserved(await waiting)
        fleet.close()
        return held

    assert run_on_injected_time(scenario()) == 0


@pytest.mark.parametrize(("after_s", "expected"), [(PROOF_S, 0), (SETTLED_S, 6)])
def test_a_new_owner_waits_for_proof_expiry_and_the_longest_deadline(
    after_s: float, expected: int
) -> None:
    async def scenario() -> int:
        fleet = ChaosFleet(1)
        await asyncio.sleep(SETTLED_S)
        for host in ("h1", "h2"):
            fleet.hosts.pop(host).chooser.close()
            fleet.network.leave(host)
        own_free_slots = len(_lendable_slots(fleet))
        fleet.commit(members=(member(0),))
        await asyncio.sleep(after_s - DEADLINE_S * (expected == 0) / 2)
        held = _count_reserved(await _reserve(fleet, "h0", 6))
        fleet.close()
        return held if expected else max(0, held - own_free_slots)

    assert run_on_injected_time(scenario()) == expected


def _lendable_slots(fleet: ChaosFleet) -> list[object]:
    table = fleet.hosts["h0"].chooser._sharing.table
    return list(table.lendable_slots("desk", asyncio.get_running_loop().time()))


def test_slots_released_by_their_earlier_owner_are_used_at_once() -> None:
    async def scenario() -> int:
        fleet = ChaosFleet(1)
        await asyncio.sleep(SETTLED_S)
        fleet.commit(members=(member(0),))
        await asyncio.sleep(0.1)
        held = _count_reserved(await _reserve(fleet, "h0", 6))
        fleet.close()
        return held

    assert run_on_injected_time(scenario()) == 6


def test_a_partitioned_borrower_loses_its_slots_and_the_lender_reclaims_them() -> None:
    async def scenario() -> tuple[int, int, int]:
        fleet = ChaosFleet(1)
        await asyncio.sleep(SETTLED_S)
        first = await _reserve(fleet, "h0", 6)
        for host in ("h1", "h2"):
            fleet.network.cuts |= {("h0", host), (host, "h0")}
        early = _count_reserved(await _reserve(fleet, "h1", 6))
        await asyncio.sleep(LEASE_EXPIRY_WAIT_S + 1.0)
        for result in first:
            assert isinstance(result, Reservation)
            result.release(AttemptOutcome.CANCELLED, asyncio.get_running_loop().time())
        at_borrower = _count_reserved(await _reserve(fleet, "h0", 6))
        at_lenders = _count_reserved(await _reserve(fleet, "h1", 6))
        fleet.close()
        return early, at_borrower, at_lenders

    early, at_borrower, at_lenders = run_on_injected_time(scenario())
    assert early == 0
    assert at_borrower + at_lenders <= 6
    assert at_lenders > 0
