"""Tests that cause each failure under which a booking must still run at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import claim_row_key
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.table import Write
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.ledger.fleet import Fleet

if TYPE_CHECKING:
    from flamingoladder.verdict import Outcome

LONG_S = 10.0


def said(outcome: Outcome) -> tuple[Verdict, Reason | None]:
    """Return the verdict, and the reason of a refusal."""
    if outcome.is_ok():
        return Verdict.RAN, None
    return outcome.error.verdict, outcome.error.reason


RAN = (Verdict.RAN, None)
UNREACHABLE = (Verdict.MAY_HAVE_RUN, Reason.CLAIM_OWNER_UNREACHABLE)
STORE_OUT = Reason.CLAIM_STORE_UNAVAILABLE


@pytest.mark.parametrize(
    ("fresh", "verdict"), [(True, Verdict.NOT_RUN), (False, Verdict.MAY_HAVE_RUN)]
)
def test_store_down_while_bookings_arrive(fresh: bool, verdict: Verdict) -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        fleet["a"].faults.down = True
        refused = await fleet["a"].send("k", fresh=fresh)
        assert said(refused) == (verdict, STORE_OUT)
        assert (refused.error.ticket is not None) == fresh
        if refused.error.ticket:
            assert said(await fleet["a"].send(refused.error.ticket)) == RAN
        assert fleet.upstream.runs["k"] == 0

    run_on_injected_time(scenario())


def test_repeat_during_a_store_outage_is_not_told_that_it_has_not_run() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        await fleet["a"].send("k")
        fleet["b"].faults.down = True
        assert said(await fleet["b"].send("k")) == (Verdict.MAY_HAVE_RUN, STORE_OUT)

    run_on_injected_time(scenario())


def test_repeat_that_waits_for_a_fresh_claim_is_not_told_that_its_key_has_not_run() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet["a"].faults.down = True
        first = asyncio.create_task(fleet["a"].send("k", fresh=True))
        await asyncio.sleep(0.01)
        assert said(await fleet["b"].send("k")) == RAN
        assert said(await fleet["a"].send("k")) == (Verdict.MAY_HAVE_RUN, STORE_OUT)
        assert said(await first) == (Verdict.NOT_RUN, STORE_OUT)

    run_on_injected_time(scenario())


@pytest.mark.parametrize(
    ("delay_s", "expected"),
    [(0.45 * TABLE_TIMEOUT_S, RAN), (0.55 * TABLE_TIMEOUT_S, (Verdict.NOT_RUN, STORE_OUT))],
)
def test_store_slow(delay_s: float, expected: tuple[Verdict, Reason | None]) -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        fleet["a"].faults.delay_s = delay_s
        assert said(await fleet["a"].send("k", fresh=True)) == expected

    run_on_injected_time(scenario())


def test_claim_answer_lost_is_resolved_by_reading() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet["a"].faults.lost_answers = 1
        first, repeat = await asyncio.gather(fleet["a"].send("k"), fleet["b"].send("k"))
        assert said(first) == said(repeat) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_claim_answer_lost_for_good_is_never_dispatched_and_cleaned() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet["a"].faults.lost_answers = 1
        booking = asyncio.create_task(fleet["a"].send("k", fresh=True))
        await asyncio.sleep(0.1)
        fleet["a"].faults.down = True
        assert said(await booking) == (Verdict.NOT_RUN, STORE_OUT)
        assert len(fleet.stored.rows_by_key) == 1
        fleet["a"].faults.down = False
        await asyncio.sleep(LONG_S)
        assert not fleet.stored.rows_by_key
        assert not fleet.upstream.runs

    run_on_injected_time(scenario())


def test_claim_given_up_is_taken_over_on_its_holders_word() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet["a"].faults.lost_answers = 1
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(0.1)
        fleet["a"].faults.down = True
        await booking
        assert said(await fleet["b"].send("k")) == RAN
        fleet["a"].faults.down = False
        await asyncio.sleep(LONG_S)
        assert said(await fleet["a"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


@pytest.mark.parametrize(
    ("killed_after_s", "runs", "expected"),
    [(0.007, 0, UNREACHABLE), (0.03, 1, UNREACHABLE), (0.065, 1, UNREACHABLE), (0.5, 1, RAN)],
    ids=["before dispatch", "during dispatch", "after dispatch", "after its outcome was written"],
)
def test_host_gone(
    killed_after_s: float, runs: int, expected: tuple[Verdict, Reason | None]
) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(killed_after_s)
        fleet["a"].kill()
        booking.cancel()
        fleet.restart("a")
        await asyncio.sleep(1.0)
        for host in fleet.everyone():
            assert said(await host.send("k", deadline_s=LONG_S)) == expected
        assert fleet.upstream.runs["k"] == runs

    run_on_injected_time(scenario())


@pytest.mark.parametrize(("deadline_s", "runs"), [(2.0, 0), (60.0, 1)])
def test_holder_frozen_before_dispatch_and_woken(deadline_s: float, runs: int) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        booking = asyncio.create_task(fleet["a"].send("k", deadline_s=deadline_s))
        await asyncio.sleep(0.007)
        fleet["a"].freeze()
        repeat = await fleet["b"].send("k", deadline_s=LONG_S)
        assert said(repeat) == UNREACHABLE
        await asyncio.sleep(2.0)
        fleet["a"].thaw()
        await booking
        await asyncio.sleep(1.0)
        assert fleet.upstream.runs["k"] == runs
        assert said(await fleet["b"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_repeat_through_another_region_while_the_first_runs() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet.network.delay_s = fleet["b"].faults.delay_s = 0.055
        fleet.upstream.run_s["k"] = 1.0
        first = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(0.2)
        repeat = await fleet["b"].send("k")
        assert repeat.ok.body == (await first).ok.body == b"k run 1"
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_silent_upstream_gives_may_have_run_and_no_second_dispatch() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet.upstream.run_s["k"] = 3_600.0
        for name in ("a", "a", "b"):
            outcome = await fleet[name].send("k")
            assert said(outcome)[0] is Verdict.MAY_HAVE_RUN
        await asyncio.sleep(LONG_S)
        for name in ("a", "b"):
            silent = (Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
            assert said(await fleet[name].send("k")) == silent
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_crossed_answers_reach_their_own_callers() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        keys = [f"k{number}" for number in range(20)]
        fleet.upstream.run_s = {key: 1.0 - number / 30 for number, key in enumerate(keys)}
        sends = [fleet[name].send(key) for key in keys for name in "ab"]
        outcomes = await asyncio.gather(*sends)
        bodies = [outcome.ok.body.decode() for outcome in outcomes]
        assert bodies == [f"{key} run 1" for key in keys for _ in "ab"]

    run_on_injected_time(scenario())


def test_crashing_request_is_never_dispatched_again() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet.upstream.crashes = True
        lost = (Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
        assert said(await fleet["a"].send("k")) == lost
        assert said(await fleet["a"].send("k")) == lost
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        fleet.restart("a")
        for host in fleet.everyone():
            assert said(await host.send("k")) == lost
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_request_that_found_no_capacity_runs_elsewhere() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet.upstream.refusals_left = 1
        assert said(await fleet["a"].send("k")) == (Verdict.NOT_RUN, Reason.NO_CAPACITY)
        assert said(await fleet["b"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_caller_that_leaves_does_not_lose_the_outcome() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(0.03)
        booking.cancel()
        assert said(await fleet["b"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


@pytest.mark.parametrize("offset_ms", range(50, 120, 5))
def test_writer_cancelled_in_a_write_loses_nothing(offset_ms: int) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        await fleet["a"].send(ticket)
        await asyncio.sleep(offset_ms / 1_000)
        fleet["a"].serving.cancel()
        assert await fleet["a"].ledger.close(asyncio.get_running_loop().time())
        fleet["a"].kill()
        assert said(await fleet["b"].send(ticket, deadline_s=LONG_S)) == RAN

    run_on_injected_time(scenario())


@pytest.mark.parametrize("offset_ms", range(0, 120, 3))
def test_late_release_spares_the_claim_that_took_over(offset_ms: int) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b", "c")
        fleet["a"].faults.lost_answers = 1
        booking = asyncio.create_task(fleet["a"].send("k", deadline_s=0.5))
        await asyncio.sleep(0.1)
        fleet["a"].faults.down = True
        await booking
        fleet["a"].faults.down = False
        fleet["b"].faults.delay_s = 0.001
        await asyncio.sleep(offset_ms / 1_000)
        await fleet["b"].send("k")
        assert said(await fleet["c"].send("k")) == RAN
        await asyncio.sleep(1.0)
        assert said(await fleet["c"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_large_answer_is_kept_as_an_object() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        key = "k" * 5_000
        await fleet["a"].send(key)
        await asyncio.sleep(1.0)
        assert len(fleet.objects) == 1
        fleet["a"].kill()
        assert (await fleet["b"].send(key)).ok.body.decode() == f"{key} run 1"

    run_on_injected_time(scenario())


def test_release_and_outcome_of_one_key_are_written_one_after_the_other() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet.upstream.refusals_left = 1
        fleet.upstream.run_s["k"] = 0.001
        assert said(await fleet["a"].send("k"))[0] is Verdict.NOT_RUN
        assert said(await fleet["a"].send("k")) == RAN
        assert await fleet["a"].ledger.close(asyncio.get_running_loop().time())
        fleet["a"].kill()
        assert said(await fleet["b"].send("k")) == RAN

    run_on_injected_time(scenario())


def test_damaged_row_is_no_word_on_its_key_and_stops_no_other_write() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(0.03)
        fleet.stored.transact([], [Write(claim_row_key("w", "k"), b"\xc1")])
        assert said(await booking) == RAN
        assert said(await fleet["b"].send("k"))[0] is Verdict.MAY_HAVE_RUN
        await fleet["a"].send("k2")
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        assert said(await fleet["b"].send("k2")) == RAN

    run_on_injected_time(scenario())
