"""Tests that a booking runs at most once under each failure of store, host and upstream."""

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
from tests.ledger.fleet import abandon_claim

if TYPE_CHECKING:
    from flamingoladder.verdict import Outcome

LONG_WAIT_S = 10.0
# Until a host knows that no other recovers the store's era.
STARTED_S = 0.1


def result_of(outcome: Outcome) -> tuple[Verdict, Reason | None]:
    """Return the verdict, and the reason of a refusal."""
    if outcome.is_ok():
        return Verdict.RAN, None
    return outcome.error.verdict, outcome.error.reason


RAN = (Verdict.RAN, None)
UNREACHABLE = (Verdict.MAY_HAVE_RUN, Reason.CLAIM_OWNER_UNREACHABLE)
STORE_UNAVAILABLE = Reason.CLAIM_STORE_UNAVAILABLE


@pytest.mark.parametrize(
    ("fresh", "verdict"), [(True, Verdict.NOT_RUN), (False, Verdict.MAY_HAVE_RUN)]
)
def test_booking_during_store_outage_is_not_run_only_with_fresh_key(
    fresh: bool, verdict: Verdict
) -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        fleet["a"].faults.down = True
        refused = await fleet["a"].send("k", fresh=fresh)
        assert result_of(refused) == (verdict, STORE_UNAVAILABLE)
        assert (refused.error.ticket is not None) == fresh
        if refused.error.ticket:
            assert result_of(await fleet["a"].send(refused.error.ticket)) == RAN
        assert fleet.upstream.runs["k"] == 0

    run_on_injected_time(scenario())


def test_repeat_during_store_outage_gets_may_have_run() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        await fleet["a"].send("k")
        fleet["b"].faults.down = True
        assert result_of(await fleet["b"].send("k")) == (Verdict.MAY_HAVE_RUN, STORE_UNAVAILABLE)

    run_on_injected_time(scenario())


def test_repeat_that_joins_a_fresh_claim_gets_may_have_run_if_the_claim_fails() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet["a"].faults.down = True
        first = asyncio.create_task(fleet["a"].send("k", fresh=True))
        await asyncio.sleep(0.01)
        assert result_of(await fleet["b"].send("k")) == RAN
        assert result_of(await fleet["a"].send("k")) == (Verdict.MAY_HAVE_RUN, STORE_UNAVAILABLE)
        assert result_of(await first) == (Verdict.NOT_RUN, STORE_UNAVAILABLE)

    run_on_injected_time(scenario())


@pytest.mark.parametrize(
    ("delay_s", "expected"),
    [(0.45 * TABLE_TIMEOUT_S, RAN), (0.55 * TABLE_TIMEOUT_S, (Verdict.NOT_RUN, STORE_UNAVAILABLE))],
)
def test_slow_store_serves_bookings_within_the_table_timeout(
    delay_s: float, expected: tuple[Verdict, Reason | None]
) -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        fleet["a"].faults.delay_s = delay_s
        assert result_of(await fleet["a"].send("k", fresh=True)) == expected

    run_on_injected_time(scenario())


def test_lost_claim_answer_is_resolved_by_reading() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet["a"].faults.lost_answers = 1
        first, repeat = await asyncio.gather(fleet["a"].send("k"), fleet["b"].send("k"))
        assert result_of(first) == result_of(repeat) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_claim_in_doubt_until_the_deadline_is_not_dispatched_and_its_row_is_deleted() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet["a"].faults.lost_answers = 1
        booking = asyncio.create_task(fleet["a"].send("k", fresh=True))
        await asyncio.sleep(0.1)
        fleet["a"].faults.down = True
        assert result_of(await booking) == (Verdict.NOT_RUN, STORE_UNAVAILABLE)
        assert len(fleet.stored.rows_by_key) == 1
        fleet["a"].faults.down = False
        await asyncio.sleep(LONG_WAIT_S)
        assert not fleet.stored.rows_by_key
        assert not fleet.upstream.runs

    run_on_injected_time(scenario())


def test_abandoned_claim_is_taken_over_after_its_holder_confirms_it_never_ran() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        await abandon_claim(fleet)
        assert result_of(await fleet["b"].send("k")) == RAN
        fleet["a"].faults.down = False
        await asyncio.sleep(LONG_WAIT_S)
        assert result_of(await fleet["a"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


async def started_fleet() -> Fleet:
    """Return a fleet whose next claim is written at once."""
    fleet = Fleet("a", "b")
    await asyncio.sleep(STARTED_S)
    return fleet


@pytest.mark.parametrize(
    ("killed_after_s", "runs", "expected"),
    [(0.007, 0, UNREACHABLE), (0.03, 1, UNREACHABLE), (0.065, 1, UNREACHABLE), (0.5, 1, RAN)],
    ids=["before dispatch", "during dispatch", "after dispatch", "after its outcome was written"],
)
def test_key_of_a_killed_host_runs_at_most_once(
    killed_after_s: float, runs: int, expected: tuple[Verdict, Reason | None]
) -> None:
    async def scenario() -> None:
        fleet = await started_fleet()
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(killed_after_s)
        fleet["a"].kill()
        booking.cancel()
        fleet.restart("a")
        await asyncio.sleep(1.0)
        for host in fleet.hosts():
            assert result_of(await host.send("k", deadline_s=LONG_WAIT_S)) == expected
        assert fleet.upstream.runs["k"] == runs

    run_on_injected_time(scenario())


@pytest.mark.parametrize(("deadline_s", "runs"), [(2.0, 0), (60.0, 1)])
def test_holder_frozen_before_dispatch_runs_at_most_once_after_thaw(
    deadline_s: float, runs: int
) -> None:
    async def scenario() -> None:
        fleet = await started_fleet()
        booking = asyncio.create_task(fleet["a"].send("k", deadline_s=deadline_s))
        await asyncio.sleep(0.007)
        fleet["a"].freeze()
        repeat = await fleet["b"].send("k", deadline_s=LONG_WAIT_S)
        assert result_of(repeat) == UNREACHABLE
        await asyncio.sleep(2.0)
        fleet["a"].thaw()
        await booking
        await asyncio.sleep(1.0)
        assert fleet.upstream.runs["k"] == runs
        assert result_of(await fleet["b"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_repeat_in_another_region_waits_for_the_running_request() -> None:
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
            assert result_of(outcome)[0] is Verdict.MAY_HAVE_RUN
        await asyncio.sleep(LONG_WAIT_S)
        for name in ("a", "b"):
            silent = (Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
            assert result_of(await fleet[name].send("k")) == silent
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_out_of_order_answers_reach_their_own_callers() -> None:
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
        assert result_of(await fleet["a"].send("k")) == lost
        assert result_of(await fleet["a"].send("k")) == lost
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        fleet.restart("a")
        for host in fleet.hosts():
            assert result_of(await host.send("k")) == lost
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_request_refused_for_no_capacity_can_run_through_another_host() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet.upstream.refusals_left = 1
        assert result_of(await fleet["a"].send("k")) == (
            Verdict.NOT_RUN,
            Reason.NO_CAPACITY,
        )
        assert result_of(await fleet["b"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_outcome_is_kept_after_its_caller_disconnects() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(0.03)
        booking.cancel()
        assert result_of(await fleet["b"].send("k")) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


@pytest.mark.parametrize("offset_ms", range(50, 120, 5))
def test_cancelled_writer_queues_its_batch_again(offset_ms: int) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        await fleet["a"].send(ticket)
        await asyncio.sleep(offset_ms / 1_000)
        fleet["a"].serve_task.cancel()
        assert await fleet["a"].ledger.close(asyncio.get_running_loop().time())
        fleet["a"].kill()
        assert result_of(await fleet["b"].send(ticket, deadline_s=LONG_WAIT_S)) == RAN

    run_on_injected_time(scenario())


@pytest.mark.parametrize("offset_ms", range(0, 120, 3))
def test_late_release_does_not_delete_the_next_holders_claim(offset_ms: int) -> None:
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
        assert result_of(await fleet["c"].send("k")) == RAN
        await asyncio.sleep(1.0)
        assert result_of(await fleet["c"].send("k")) == RAN
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


def test_release_and_outcome_of_one_key_are_written_in_separate_transactions() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        fleet.upstream.refusals_left = 1
        fleet.upstream.run_s["k"] = 0.001
        assert result_of(await fleet["a"].send("k"))[0] is Verdict.NOT_RUN
        assert result_of(await fleet["a"].send("k")) == RAN
        assert await fleet["a"].ledger.close(asyncio.get_running_loop().time())
        fleet["a"].kill()
        assert result_of(await fleet["b"].send("k")) == RAN

    run_on_injected_time(scenario())


def test_undecodable_row_gives_may_have_run_and_blocks_no_other_write() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        booking = asyncio.create_task(fleet["a"].send("k"))
        await asyncio.sleep(0.03)
        fleet.stored.transact([], [Write(claim_row_key("w", "k"), b"\xc1")])
        assert result_of(await booking) == RAN
        assert result_of(await fleet["b"].send("k"))[0] is Verdict.MAY_HAVE_RUN
        await fleet["a"].send("k2")
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        assert result_of(await fleet["b"].send("k2")) == RAN

    run_on_injected_time(scenario())
