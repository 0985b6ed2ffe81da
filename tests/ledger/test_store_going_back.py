"""Tests that keys run at most once when the store comes back from an older copy."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from flamingoladder.ledger.entries import Entry
from flamingoladder.ledger.entries import EntryState
from flamingoladder.ledger.era_recovery import MAX_DOUBT_S
from flamingoladder.ledger.era_recovery import MAX_LOST_S
from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import ClaimRow
from flamingoladder.ledger.rows import ClaimState
from flamingoladder.ledger.rows import claim_row_key
from flamingoladder.ledger.rows import decode_claim
from flamingoladder.ledger.rows import encode
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.table import Write
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict
from tests.ledger.fleet import WORKSPACE
from tests.ledger.fleet import Fleet

HOSTS = ("a", "b", "c")
BOOKINGS = 20
LONG_RUN_S = 1.0
LONG_WAIT_S = 10.0
SETTLE_S = 1.5


async def settled_fleet() -> Fleet:
    """Return a fleet that has run for longer than the store may lose."""
    fleet = Fleet(*HOSTS)
    for name in HOSTS:
        await fleet[name].send(f"first-{name}")
    await asyncio.sleep(MAX_LOST_S + 1.0)
    return fleet


async def book(fleet: Fleet, *, hosts: tuple[str, ...] = HOSTS) -> list[Verdict]:
    """Send each booking once, to the hosts in turn."""
    outcomes = await asyncio.gather(
        *(fleet[hosts[n % len(hosts)]].send(f"b{n}", request_id=f"b{n}") for n in range(BOOKINGS))
    )
    return [Verdict.RAN if of.is_ok() else of.error.verdict for of in outcomes]


def most_runs(fleet: Fleet) -> int:
    """Return how often the booking that ran most often did."""
    return max(fleet.upstream.runs[f"b{n}"] for n in range(BOOKINGS))


@pytest.mark.parametrize("copied", ["before the claims", "between claims and outcomes"])
@pytest.mark.parametrize("times", [1, 2])
def test_repeats_of_lost_bookings_run_nothing_twice(copied: str, times: int) -> None:
    async def scenario() -> tuple[int, list[Verdict]]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        booking = asyncio.create_task(book(fleet))
        if copied != "before the claims":
            await asyncio.sleep(0.03)
            copy = fleet.stored.copy()
        await booking
        await asyncio.sleep(1.0)
        for _ in range(times):
            fleet.stored.restore(copy)
            for shift in range(3):
                order = HOSTS[shift:] + HOSTS[:shift]
                assert Verdict.NOT_RUN not in await book(fleet, hosts=order)
        await asyncio.sleep(SETTLE_S)
        return most_runs(fleet), await book(fleet, hosts=("c", "a", "b"))

    runs, verdicts = run_on_injected_time(scenario())
    assert runs == 1
    assert set(verdicts) == {Verdict.RAN}


def test_bookings_at_work_keep_their_claims() -> None:
    async def scenario() -> tuple[int, set[Verdict]]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        fleet.upstream.run_s = {f"b{n}": LONG_RUN_S for n in range(BOOKINGS)}
        booking = asyncio.create_task(book(fleet))
        await asyncio.sleep(LONG_RUN_S / 2)
        fleet.stored.restore(copy)
        verdicts = set(await book(fleet, hosts=("b", "c", "a")))
        await booking
        await asyncio.sleep(SETTLE_S)
        return most_runs(fleet), verdicts | set(await book(fleet, hosts=("c", "a", "b")))

    runs, verdicts = run_on_injected_time(scenario())
    assert runs == 1
    assert Verdict.NOT_RUN not in verdicts


def test_a_key_whose_holder_is_dead_is_refused_and_not_run_again() -> None:
    async def scenario() -> tuple[int, set[Verdict], set[Verdict]]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        await book(fleet, hosts=("a",))
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        fleet.stored.restore(copy)
        early = set(await book(fleet, hosts=("b", "c")))
        await asyncio.sleep(MAX_DOUBT_S / 2)
        fleet.restart("a")
        late = set(await book(fleet))
        return most_runs(fleet), early, late

    runs, early, late = run_on_injected_time(scenario())
    assert runs == 1
    assert early == late == {Verdict.MAY_HAVE_RUN}


def test_fresh_keys_get_tickets_that_run_while_keys_are_in_doubt() -> None:
    async def scenario() -> tuple[Refusal, list[bool], int, bool]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        await book(fleet, hosts=("a",))
        fleet["a"].kill()
        fleet.stored.restore(copy)
        await fleet["b"].send("known")
        fresh = (await fleet["b"].send("fresh", fresh=True)).error
        tickets = [fresh.ticket or "", fleet["b"].ledger.issue_ticket(WORKSPACE)]
        ran = [(await fleet["b"].send(ticket)).is_ok() for ticket in tickets]
        await asyncio.sleep(MAX_DOUBT_S + SETTLE_S)
        known = await fleet["b"].send("known")
        return fresh, ran, fleet.upstream.runs["fresh"], known.is_ok()

    refusal, ran, fresh_runs, known_ran = run_on_injected_time(scenario())
    assert (refusal.verdict, fresh_runs) == (Verdict.NOT_RUN, 0)
    assert ran == [True, True]
    assert known_ran


def test_a_fresh_key_gets_its_ticket_soon_at_a_host_that_starts_without_the_store() -> None:
    async def scenario() -> tuple[Refusal, float]:
        fleet = Fleet("a")
        fleet["a"].faults.down = True
        started_at = asyncio.get_running_loop().time()
        refused = await fleet["a"].send("fresh", fresh=True, deadline_s=LONG_WAIT_S)
        return refused.error, asyncio.get_running_loop().time() - started_at

    refusal, waited_s = run_on_injected_time(scenario())
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.ticket
    assert waited_s <= 2 * TABLE_TIMEOUT_S


def test_a_closed_key_stays_closed() -> None:
    """Its caller was told that it has not run, and never will."""

    async def scenario() -> tuple[int, bool]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        closed = await fleet["a"].ledger.outcome_of(WORKSPACE, "b0")
        fleet.stored.restore(copy)
        await fleet["b"].send("b0")
        await asyncio.sleep(SETTLE_S)
        again = await fleet["c"].send("b0")
        return fleet.upstream.runs["b0"], closed.error == again.error

    assert run_on_injected_time(scenario()) == (0, True)


def test_a_question_for_a_lost_booking_closes_nothing() -> None:
    async def scenario() -> tuple[Verdict, Verdict]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        await book(fleet, hosts=("a",))
        await asyncio.sleep(1.0)
        fleet.stored.restore(copy)
        early = await fleet["b"].ledger.outcome_of(WORKSPACE, "b0")
        await asyncio.sleep(SETTLE_S)
        late = await fleet["b"].ledger.outcome_of(WORKSPACE, "b0")
        return early.error.verdict, Verdict.RAN if late.is_ok() else late.error.verdict

    assert run_on_injected_time(scenario()) == (Verdict.MAY_HAVE_RUN, Verdict.RAN)


def test_a_host_frozen_over_it_keeps_its_keys_from_running_again() -> None:
    async def scenario() -> tuple[int, set[Verdict], set[Verdict]]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        await book(fleet, hosts=("a",))
        await asyncio.sleep(1.0)
        fleet["a"].freeze()
        fleet.stored.restore(copy)
        early = set(await book(fleet, hosts=("b", "c")))
        await asyncio.sleep(5.0)
        fleet["a"].thaw()
        await asyncio.sleep(SETTLE_S)
        return most_runs(fleet), early, set(await book(fleet, hosts=("b", "c")))

    runs, early, late = run_on_injected_time(scenario())
    assert runs == 1
    assert early == {Verdict.MAY_HAVE_RUN}
    assert late == {Verdict.RAN}


def test_a_key_is_not_run_again_if_its_holder_restarted_before_the_store_went_back() -> None:
    """The new incarnation knows nothing of what the earlier one ran."""

    async def scenario() -> tuple[int, set[Verdict]]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        await book(fleet, hosts=("a",))
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        fleet.restart("a")
        await asyncio.sleep(1.0)
        fleet.stored.restore(copy)
        await asyncio.sleep(SETTLE_S)
        verdicts = set(await book(fleet, hosts=("b", "c")))
        await asyncio.sleep(SETTLE_S)
        return most_runs(fleet), verdicts | set(await book(fleet, hosts=("b", "c")))

    assert run_on_injected_time(scenario()) == (1, {Verdict.MAY_HAVE_RUN})


@pytest.mark.parametrize("is_held", [True, False])
def test_a_claim_that_was_given_up_is_not_written_again_over_another_s(is_held: bool) -> None:
    async def scenario() -> str:
        fleet = await settled_fleet()
        key = claim_row_key(WORKSPACE, "k")
        ledger = fleet["a"].ledger
        own = ClaimRow("a", "a-1", 7, "d1", ClaimState.CLAIMED)
        ledger._recovery._written_rows.add(key, own, asyncio.get_running_loop().time())
        if is_held:
            entry = Entry(key, 7, "d1", 0.0)
            entry.state = EntryState.RUNNING
            ledger._entries.add(entry)
        fleet.stored.restore(fleet.stored.copy())
        other = msgspec.structs.replace(own, host="b")
        fleet.stored.transact([], [Write(key, encode(other))])
        await fleet["a"].send("other")
        await asyncio.sleep(SETTLE_S)
        return decode_claim(fleet.stored.rows_by_key[key].value).host

    assert run_on_injected_time(scenario()) == ("a" if is_held else "b")


def test_a_holder_that_restarted_lately_does_not_remember_later_either() -> None:
    async def scenario() -> int:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        await book(fleet, hosts=("a",))
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        fleet.restart("a")
        await asyncio.sleep(MAX_LOST_S - 3.0)
        fleet.stored.restore(copy)
        for _ in range(8):
            await book(fleet, hosts=("b", "c"))
            await asyncio.sleep(1.0)
        return most_runs(fleet)

    assert run_on_injected_time(scenario()) == 1


@pytest.mark.parametrize("offset_s", [0.1 * step for step in range(12)])
def test_a_release_from_before_the_return_deletes_no_outcome_for_good(offset_s: float) -> None:
    """Its claim had the revision that the outcome got, as revisions are given out again."""

    async def scenario() -> tuple[Verdict, int]:
        fleet = await settled_fleet()
        copy = fleet.stored.copy()
        fleet.upstream.refusals_left = 1
        await fleet["b"].send("k")
        fleet["b"].faults.down = True
        fleet.upstream.run_s["k"] = LONG_RUN_S
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(LONG_RUN_S / 2)
        fleet.stored.restore(copy)
        await booking
        await asyncio.sleep(SETTLE_S + offset_s)
        fleet["b"].faults.down = False
        await asyncio.sleep(2 * SETTLE_S)
        fleet["a"].kill()
        repeat = await fleet["c"].send("k")
        return Verdict.RAN if repeat.is_ok() else repeat.error.verdict, fleet.upstream.runs["k"]

    assert run_on_injected_time(scenario()) == (Verdict.RAN, 1)
