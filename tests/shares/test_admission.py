"""Tests of the admission of one and of several hosts, on injected time."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import pytest
from bench.limits import largest_excess

from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.division import workspace_allowance
from flamingoladder.shares.messages import Holding
from flamingoladder.shares.messages import LoanQuestion
from flamingoladder.shares.messages import LoanReply
from flamingoladder.shares.messages import LoanRequest
from flamingoladder.shares.messages import Standing
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.verdict import Reason
from tests.shares.fleet import BURST
from tests.shares.fleet import FULL_S
from tests.shares.fleet import RATE_PER_S
from tests.shares.fleet import Fleet

if TYPE_CHECKING:
    import msgspec

HOLD_S = 0.15
LOAD = 0.8
RUN_S = 15.0


def test_nothing_is_admitted_before_a_new_part_may_be_used() -> None:
    async def scenario() -> Reason | None:
        return await Fleet().send("h0")

    assert run_on_injected_time(scenario()) is Reason.RATE_EXCEEDED


def test_open_routes_are_not_limited() -> None:
    async def scenario() -> Reason | None:
        return await Fleet().send("h0", workspace=None)

    assert run_on_injected_time(scenario()) is None


@pytest.mark.parametrize("senders", [("h0",), ("h0", "h1"), ("h0", "h3", "h6")])
def test_the_whole_burst_can_be_spent_anywhere_but_no_more(senders: tuple[str, ...]) -> None:
    async def scenario() -> list[float]:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        count = 2 * BURST // len(senders)
        await asyncio.gather(*(fleet.send(host) for host in senders for _ in range(count)))
        fleet.close()
        return fleet.admitted_at

    admitted_at = run_on_injected_time(scenario())
    assert len(admitted_at) >= BURST
    assert largest_excess(admitted_at, RATE_PER_S, BURST) <= 0


def test_without_proof_nothing_is_spent() -> None:
    async def scenario() -> Reason | None:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        fleet.states["h0"].proven = False
        return await fleet.send("h0")

    assert run_on_injected_time(scenario()) is Reason.NO_PROOF


def test_a_held_request_is_not_paid_for_once_proof_has_lapsed() -> None:
    async def scenario() -> tuple[list[Reason | None], int]:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        await fleet.spend_all()
        before = len(fleet.admitted_at)
        held = [asyncio.create_task(fleet.send("h0")) for _ in range(3)]
        await asyncio.sleep(0)
        fleet.states["h0"].proven = False
        reasons = list(await asyncio.gather(*held))
        return reasons, len(fleet.admitted_at) - before

    reasons, admitted = run_on_injected_time(scenario())
    assert admitted == 0
    assert set(reasons) <= {Reason.NO_PROOF, Reason.RATE_EXCEEDED}


def test_a_host_without_proof_lends_nothing() -> None:
    async def scenario() -> int:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        for host, state in fleet.states.items():
            state.proven = host == "h0"
        await asyncio.gather(*(fleet.send("h0") for _ in range(BURST)))
        return len(fleet.admitted_at)

    own = BURST / 7 + RATE_PER_S / 7 * HOLD_S
    assert run_on_injected_time(scenario()) <= own + 1


@pytest.mark.parametrize(("within_s", "held_s"), [(2.0, HOLD_S), (0.05, 0.05), (0.0, 0.0)])
def test_the_hold_ends_with_the_shorter_of_its_limit_and_the_deadline(
    within_s: float, held_s: float
) -> None:
    async def scenario() -> float:
        fleet = Fleet()
        loop = asyncio.get_running_loop()
        await asyncio.sleep(FULL_S)
        await fleet.spend_all()
        began = loop.time()
        waits = [asyncio.create_task(fleet.admit("h0", within_s=within_s)) for _ in range(60)]
        refusals = await asyncio.gather(*waits)
        refused = [refusal for refusal in refusals if refusal is not None]
        assert refused
        assert all(refusal.retry_after_s for refusal in refused)
        return loop.time() - began

    assert run_on_injected_time(scenario()) <= held_s + 1e-6


def test_held_requests_go_on_in_the_order_of_their_arrival() -> None:
    async def scenario() -> list[int]:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        await fleet.spend_all()
        await asyncio.sleep(0.5)
        served: list[int] = []

        async def one(number: int) -> None:
            if await fleet.send("h0") is None:
                served.append(number)

        loop = asyncio.get_running_loop()
        for number in range(20):
            loop.call_later(number * 0.001, asyncio.create_task, one(number))
        await asyncio.sleep(1.0)
        return served

    served = run_on_injected_time(scenario())
    assert len(served) > RATE_PER_S / 7 * 0.5
    assert served == list(range(len(served)))


def test_a_host_that_had_nothing_once_is_asked_again() -> None:
    async def scenario() -> int:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        await fleet.spend_all()
        await asyncio.sleep(FULL_S)
        await asyncio.gather(*(fleet.send("h0") for _ in range(BURST)))
        return len(fleet.admitted_at)

    assert run_on_injected_time(scenario()) == BURST


def test_a_host_that_is_no_member_gets_no_loan() -> None:
    async def scenario() -> msgspec.Struct | None:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        stranger = fleet.network.join("h9", "1")
        holding, standing = Holding(1, 0, 0), Standing(0, 0, 0, 0, BURST * NANOS_PER_UNIT)
        question = LoanQuestion(workspace_allowance("w"), 1, holding, standing)
        return await stranger.ask("h0", LoanRequest((question,)), 1.0)

    assert run_on_injected_time(scenario()) == LoanReply(())


@pytest.mark.parametrize("commits", [1, 2])
@pytest.mark.parametrize("learns", [True, False])
def test_the_part_of_a_removed_host_waits_until_it_knows(commits: int, learns: bool) -> None:
    async def scenario() -> list[float]:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        removed = fleet.state.members[-1].host
        left = fleet.state.members[:-1]
        for _ in range(commits):
            fleet.commit(left, unknown_to="" if learns else removed)
            await asyncio.sleep(0.7)
        await asyncio.gather(*(fleet.send(host) for host in fleet.states for _ in range(BURST)))
        fleet.close()
        return fleet.admitted_at

    admitted_at = run_on_injected_time(scenario())
    assert largest_excess(admitted_at, RATE_PER_S, BURST) <= 0
    assert len(admitted_at) >= (BURST if learns else BURST * 6 // 7)


async def _loaded(fleet: Fleet, hot: float, faults: bool) -> tuple[int, int]:
    """Send a steady load; return how many requests were sent and how many refused."""
    refused = 0

    async def one(host: str) -> None:
        nonlocal refused
        refused += await fleet.send(host) is not None

    sent = []
    random = fleet.random
    until = asyncio.get_running_loop().time() + RUN_S
    while asyncio.get_running_loop().time() < until:
        await asyncio.sleep(random.expovariate(RATE_PER_S * LOAD))
        host = "h0" if random.random() < hot else random.choice(list(fleet.states))
        sent.append(asyncio.create_task(one(host)))
        if faults and random.random() < 0.01:
            _disturb(fleet)
    await asyncio.gather(*sent)
    fleet.close()
    return len(sent), refused


def _disturb(fleet: Fleet) -> None:
    loop = asyncio.get_running_loop()
    host = fleet.random.choice(list(fleet.states))
    match fleet.random.randrange(3):
        case 0:
            fleet.commit(fleet.state.members)
        case 1:
            fleet.states[host].proven = False
            loop.call_later(0.5, setattr, fleet.states[host], "proven", True)
        case _ if host not in fleet.network.thawed_by_host:
            fleet.network.freeze(host)
            loop.call_later(1.0, fleet.network.thaw, host)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_nearly_nothing_within_the_rate_is_refused_at_a_skew(seed: int, loss: float) -> None:
    async def scenario() -> tuple[int, int]:
        fleet = Fleet(seed, loss)
        await asyncio.sleep(FULL_S)
        return await _loaded(fleet, 0.8, faults=False)

    sent, refused = run_on_injected_time(scenario())
    assert refused <= sent * 0.001


@pytest.mark.parametrize("seed", range(4))
def test_the_fleet_keeps_the_limit_through_loss_freezes_changes_and_gaps(seed: int) -> None:
    async def scenario() -> list[float]:
        fleet = Fleet(seed, loss=0.1)
        await asyncio.sleep(FULL_S)
        await _loaded(fleet, 0.5, faults=True)
        await asyncio.sleep(1.0)
        return fleet.admitted_at

    admitted_at = run_on_injected_time(scenario())
    assert len(admitted_at) > BURST
    assert largest_excess(admitted_at, RATE_PER_S, BURST) <= 0


def test_a_new_division_is_used_at_once_when_all_have_adopted_it() -> None:
    async def scenario() -> int:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        fleet.commit(fleet.state.members)
        await asyncio.sleep(0.6)
        await asyncio.gather(*(fleet.send("h0") for _ in range(BURST)))
        fleet.close()
        return len(fleet.admitted_at)

    assert run_on_injected_time(scenario()) >= BURST * 0.9


@pytest.mark.parametrize("settles_s", [None, 5.0, 60.0])
def test_a_part_grows_only_once_the_division_has_settled(settles_s: float | None) -> None:
    """However long ago the division was learned of, others may hold the one before."""

    async def scenario() -> list[Reason | None]:
        fleet = Fleet(settles_at=math.inf)
        await asyncio.sleep(FULL_S)
        before = await fleet.send("h0")
        if settles_s is not None:
            for state in fleet.states.values():
                state.settle(FULL_S + settles_s)
            await asyncio.sleep(settles_s + FULL_S)
        after = await fleet.send("h0")
        fleet.close()
        return [before, after]

    refused = Reason.RATE_EXCEEDED
    expected = [refused, refused if settles_s is None else None]
    assert run_on_injected_time(scenario()) == expected
