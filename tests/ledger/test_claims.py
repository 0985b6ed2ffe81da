"""Tests of claims of callers' own keys."""

from __future__ import annotations

import asyncio

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.verdict import Outcome
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.ledger.fleet import Fleet


def test_repeat_through_another_host_gets_the_stored_answer() -> None:
    async def scenario() -> tuple[Fleet, list[Outcome]]:
        fleet = Fleet("a", "b")
        first = await fleet["a"].send("k")
        await asyncio.sleep(1.0)
        return fleet, [first, await fleet["b"].send("k")]

    fleet, outcomes = run_on_injected_time(scenario())
    assert [outcome.ok.body for outcome in outcomes] == [b"k run 1"] * 2
    assert fleet.upstream.runs == {"k": 1}


def test_concurrent_requests_with_one_key_run_once() -> None:
    async def scenario() -> tuple[Fleet, list[Outcome]]:
        fleet = Fleet("a")
        return fleet, await asyncio.gather(*(fleet["a"].send("k") for _ in range(5)))

    fleet, outcomes = run_on_injected_time(scenario())
    assert [outcome.ok.body for outcome in outcomes] == [b"k run 1"] * 5
    assert fleet.upstream.runs == {"k": 1}


def test_different_request_with_the_same_key_is_refused() -> None:
    async def scenario() -> list[Outcome]:
        fleet = Fleet("a", "b")
        await fleet["a"].send("k")
        return [await fleet[name].send("k", digest="d2") for name in "ab"]

    for outcome in run_on_injected_time(scenario()):
        assert outcome.error.verdict is Verdict.NOT_RUN
        assert outcome.error.reason is Reason.IDEMPOTENCY_KEY_REUSED
