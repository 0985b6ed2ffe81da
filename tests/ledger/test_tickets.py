"""Tests of tickets, graceful shutdown and outcome queries."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.ledger.graceful_shutdown import COVERED_TICKETS_S
from flamingoladder.ledger.tickets import RETAINED_AFTER_EXPIRY_S
from flamingoladder.ledger.tickets import TICKET_LIFETIME_S
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.table import Write
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.ledger.fleet import Fleet
from tests.ledger.fleet import abandon_claim
from tests.ledger.test_failures import LONG_WAIT_S
from tests.ledger.test_failures import RAN
from tests.ledger.test_failures import UNREACHABLE
from tests.ledger.test_failures import result_of

INVALID = (Verdict.NOT_RUN, Reason.TICKET_INVALID)
KEY_REUSED = (Verdict.NOT_RUN, Reason.IDEMPOTENCY_KEY_REUSED)


async def _shut_down(fleet: Fleet, name: str) -> bool:
    closed = await fleet[name].ledger.close(asyncio.get_running_loop().time())
    fleet[name].kill()
    return closed


def test_ticket_runs_once_at_its_issuer_during_a_store_outage() -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        fleet["a"].faults.down = True
        ticket = fleet["a"].ledger.issue_ticket("w")
        outcomes = await asyncio.gather(*(fleet["a"].send(ticket) for _ in range(3)))
        outcomes.append(await fleet["a"].send(ticket))
        assert [result_of(outcome) for outcome in outcomes] == [RAN] * 4
        assert fleet.upstream.runs == {ticket: 1}
        assert result_of(await fleet["a"].send(ticket, digest="d2")) == KEY_REUSED

    run_on_injected_time(scenario())


def test_unused_ticket_at_another_host_is_refused_with_the_issuers_url() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        refused = await fleet["b"].send(ticket)
        assert result_of(refused) == (Verdict.NOT_RUN, Reason.CLAIM_HELD)
        assert refused.error.hosts == ("http://a",)

    run_on_injected_time(scenario())


@pytest.mark.parametrize("pause_s", [0.02, 1.0])
def test_used_ticket_at_another_host_gets_the_issuers_outcome(pause_s: float) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        first = asyncio.create_task(fleet["a"].send(ticket))
        await asyncio.sleep(pause_s)
        assert result_of(await fleet["b"].send(ticket, digest="d2")) == KEY_REUSED
        repeat = await fleet["b"].send(ticket)
        assert repeat.ok == (await first).ok
        assert fleet.upstream.runs == {ticket: 1}

    run_on_injected_time(scenario())


@pytest.mark.parametrize(("fresh", "expected"), [(False, UNREACHABLE), (True, Verdict.NOT_RUN)])
def test_unused_ticket_of_a_killed_issuer_is_not_run_only_with_fresh_key(
    fresh: bool, expected: object
) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        fleet["a"].kill()
        fleet.restart("a")
        for host in fleet.hosts():
            refused = await host.send(ticket, fresh=fresh, deadline_s=LONG_WAIT_S)
            assert expected in (result_of(refused), result_of(refused)[0])
            assert (refused.error.ticket is not None) == fresh

    run_on_injected_time(scenario())


def test_outcome_of_a_used_ticket_is_found_after_its_issuer_is_killed() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        await fleet["a"].send(ticket)
        await asyncio.sleep(1.0)
        fleet["a"].kill()
        assert result_of(await fleet["b"].send(ticket, deadline_s=LONG_WAIT_S)) == RAN
        assert result_of(await fleet["b"].ledger.outcome_of("w", ticket)) == RAN

    run_on_injected_time(scenario())


def test_used_and_unused_tickets_are_distinguished_after_shutdown() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        used, unused = (fleet["a"].ledger.issue_ticket("w") for _ in range(2))
        booking = asyncio.create_task(fleet["a"].send(used))
        await asyncio.sleep(0.01)
        assert await _shut_down(fleet, "a")
        assert result_of(await booking) == RAN
        assert result_of(await fleet["b"].send(used, deadline_s=LONG_WAIT_S)) == RAN
        refused = await fleet["b"].send(unused, deadline_s=LONG_WAIT_S)
        assert result_of(refused) == INVALID
        assert result_of(await fleet["b"].send(refused.error.ticket)) == RAN

    run_on_injected_time(scenario())


def test_no_shutdown_row_while_an_outcome_is_unwritten() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        fleet["a"].faults.down = True
        await fleet["a"].send(ticket)
        assert not await _shut_down(fleet, "a")
        assert result_of(await fleet["b"].send(ticket, deadline_s=LONG_WAIT_S)) == UNREACHABLE

    run_on_injected_time(scenario())


def test_host_that_has_shut_down_rejects_new_requests() -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        ticket = fleet["a"].ledger.issue_ticket("w")
        await fleet["a"].ledger.close(0.0)
        assert result_of(await fleet["a"].send(ticket)) == (
            Verdict.NOT_RUN,
            Reason.HOST_LEAVING,
        )
        assert result_of(await fleet["a"].send("k")) == (
            Verdict.MAY_HAVE_RUN,
            Reason.HOST_LEAVING,
        )
        assert not fleet.upstream.runs

    run_on_injected_time(scenario())


def test_claim_left_after_graceful_shutdown_is_taken_over() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        await abandon_claim(fleet)
        row = next(iter(fleet.stored.rows_by_key.values()))
        fleet["a"].faults.down = False
        assert await _shut_down(fleet, "a")
        fleet.stored.rows_by_key[row.key] = row
        assert result_of(await fleet["b"].send("k", deadline_s=LONG_WAIT_S)) == RAN
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


@pytest.mark.parametrize("workspace", ["w", "other"])
def test_forged_ticket_is_refused(workspace: str) -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        ticket = fleet["a"].ledger.issue_ticket("w")
        text = ticket if workspace == "other" else ticket[:-1] + ("0" if ticket[-1] != "0" else "1")
        assert result_of(await fleet["a"].send(text, workspace=workspace)) == INVALID
        assert result_of(await fleet["a"].send(ticket[:20])) == INVALID
        assert not fleet.upstream.runs

    run_on_injected_time(scenario())


@pytest.mark.parametrize(
    ("pause_s", "used", "expected"),
    [
        (TICKET_LIFETIME_S, False, INVALID),
        (TICKET_LIFETIME_S, True, RAN),
        (TICKET_LIFETIME_S + RETAINED_AFTER_EXPIRY_S + LONG_WAIT_S, True, RAN),
        (TICKET_LIFETIME_S + RETAINED_AFTER_EXPIRY_S + LONG_WAIT_S, False, UNREACHABLE),
    ],
)
def test_expired_ticket_returns_its_outcome_or_is_refused(
    pause_s: float, used: bool, expected: object
) -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        ticket = fleet["a"].ledger.issue_ticket("w")
        if used:
            await fleet["a"].send(ticket)
        await asyncio.sleep(pause_s)
        assert result_of(await fleet["a"].send(ticket)) == expected
        assert fleet.upstream.runs[ticket] == int(used)

    run_on_injected_time(scenario())


def test_ticket_refused_for_no_capacity_can_be_used_again() -> None:
    async def scenario() -> None:
        fleet = Fleet("a")
        ticket = fleet["a"].ledger.issue_ticket("w")
        fleet.upstream.refusals_left = 1
        assert result_of(await fleet["a"].send(ticket)) == (
            Verdict.NOT_RUN,
            Reason.NO_CAPACITY,
        )
        assert result_of(await fleet["a"].send(ticket)) == RAN

    run_on_injected_time(scenario())


@pytest.mark.parametrize("kind", ["own key", "ticket"])
def test_outcome_query_closes_an_unused_key(kind: str) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        key = fleet["a"].ledger.issue_ticket("w") if kind == "ticket" else "k"
        assert result_of(await fleet["b"].ledger.outcome_of("w", key)) == KEY_REUSED
        for name in ("a", "b"):
            assert result_of(await fleet[name].send(key))[0] is Verdict.NOT_RUN
        assert not fleet.upstream.runs

    run_on_injected_time(scenario())


@pytest.mark.parametrize("kind", ["own key", "ticket"])
def test_outcome_query_waits_for_the_running_request(kind: str) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        key = fleet["a"].ledger.issue_ticket("w") if kind == "ticket" else "k"
        fleet.upstream.run_s[key] = 1.0
        booking = asyncio.create_task(fleet["a"].send(key))
        await asyncio.sleep(0.02)
        assert result_of(await fleet["b"].ledger.outcome_of("w", key)) == RAN
        await booking
        assert fleet.upstream.runs == {key: 1}

    run_on_injected_time(scenario())


@pytest.mark.parametrize("offset_ms", range(980, 1_060, 4))
def test_issuer_shutdown_during_table_reads_hides_no_outcome(offset_ms: int) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        fleet["a"].faults.down = True
        await fleet["a"].send(ticket)
        fleet.network.cuts = {("a", "b"), ("b", "a")}
        repeat = asyncio.create_task(fleet["b"].send(ticket))
        await asyncio.sleep(offset_ms / 1_000)
        fleet["a"].faults.down = False
        fleet["a"].faults.delay_s = 0.0005
        assert await _shut_down(fleet, "a")
        assert result_of(await repeat) in (RAN, UNREACHABLE)

    run_on_injected_time(scenario())


@pytest.mark.parametrize("offset_ms", range(980, 1_060, 4))
def test_outcome_pruned_during_table_reads_is_not_reported_as_unused(offset_ms: int) -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        await fleet["a"].send(ticket)
        assert await _shut_down(fleet, "a")
        repeat = asyncio.create_task(fleet["b"].send(ticket))
        await asyncio.sleep(offset_ms / 1_000)
        row_keys = [key for key in fleet.stored.rows_by_key if not key.startswith("claims")]
        fleet.stored.transact([], [Write(key, None) for key in row_keys])
        assert result_of(await repeat) in (RAN, UNREACHABLE)

    run_on_injected_time(scenario())


def test_shutdown_row_does_not_cover_tickets_whose_outcome_may_be_pruned() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        await fleet["a"].send(ticket)
        await asyncio.sleep(COVERED_TICKETS_S + TICKET_LIFETIME_S)
        fleet.stored.rows_by_key.clear()
        assert await _shut_down(fleet, "a")
        assert result_of(await fleet["b"].send(ticket, deadline_s=LONG_WAIT_S)) == UNREACHABLE

    run_on_injected_time(scenario())
