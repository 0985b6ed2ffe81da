"""Tests of stalls, hedging, cancellation and deadlines on real connections."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.upstreams.dispatcher_fixture import dispatching
from tests.upstreams.dispatcher_fixture import request_for
from tests.upstreams.scripted_target import Behavior
from tests.upstreams.scripted_target import ScriptedTarget


async def test_kept_connections_are_retired_if_one_stalls_while_new_ones_work() -> None:
    only = ScriptedTarget("only", Behavior.ANSWER, Behavior.ANSWER, Behavior.SILENT)
    async with dispatching(only, silence_ms=50, attempts=1) as fixture:
        pair = [fixture.dispatcher.dispatch(request_for()) for _ in range(2)]
        assert all(outcome.is_ok() for outcome in await asyncio.gather(*pair))
        used = only.connections
        silent = await fixture.dispatcher.dispatch(request_for(deadline_s=0.3))
        assert silent.error.reason is Reason.UPSTREAM_SILENT
        assert (await fixture.dispatcher.dispatch(request_for())).is_ok()
        probe, fresh = 1, 1
        assert only.connections == used + probe + fresh


async def test_slow_answer_is_awaited_if_no_attempt_is_left() -> None:
    first, second = ScriptedTarget("first", Behavior.SLOW), ScriptedTarget("second")
    async with dispatching(first, second, silence_ms=20, attempts=1) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"first"


async def test_slow_first_answer_is_used_and_the_hedge_attempt_cancelled() -> None:
    first, second = ScriptedTarget("first", Behavior.SLOW), ScriptedTarget(
        "second", Behavior.SILENT
    )
    async with dispatching(first, second, silence_ms=20, attempts=2) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"first"
        assert len(second.received) == 1
        await asyncio.wait_for(second.closed_by_peer.wait(), 0.5)


async def test_hedge_attempt_is_awaited_if_the_first_attempt_is_lost() -> None:
    first = ScriptedTarget("first", Behavior.SLOW_CLOSE)
    second = ScriptedTarget("second", Behavior.SLOWER)
    async with dispatching(first, second, silence_ms=20, attempts=2) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"second"
        assert (len(first.received), len(second.received)) == (1, 1)


async def test_only_target_is_hedged_over_a_new_connection() -> None:
    only = ScriptedTarget("only", Behavior.SILENT)
    async with dispatching(only, silence_ms=50) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"only"


async def test_partial_answer_that_stalls_is_hedged() -> None:
    first, second = ScriptedTarget("first", Behavior.STALL), ScriptedTarget("second")
    async with dispatching(first, second, silence_ms=50) as fixture:
        sent = fixture.dispatcher.dispatch(request_for(deadline_s=60.0))
        outcome = await asyncio.wait_for(sent, 5.0)
        assert outcome.ok.body == b"second"


@pytest.mark.parametrize("deadline_s", [0.2, 60.0])
async def test_cancelled_or_expired_request_closes_its_connection(deadline_s: float) -> None:
    only = ScriptedTarget("only", Behavior.SILENT)
    async with dispatching(only, attempts=1) as fixture:
        sent = asyncio.create_task(fixture.dispatcher.dispatch(request_for(deadline_s=deadline_s)))
        await only.reached.wait()
        if deadline_s > 1:
            sent.cancel()
        else:
            assert (await sent).error.verdict is Verdict.MAY_HAVE_RUN
        await asyncio.wait_for(only.closed_by_peer.wait(), 2.0)
        assert (await fixture.dispatcher.dispatch(request_for())).ok.body == b"only"


async def test_target_receives_deadline_request_id_and_workspace() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as fixture:
        await fixture.dispatcher.dispatch(request_for(deadline_s=1.5))
        lines = only.received[0].lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        assert 0 < int(fields["flamingoladder-deadline-ms"]) <= 1_500
        assert fields["x-request-id"] == "r1"
        assert fields["flamingoladder-workspace"] == "midnight-sun"


async def test_probe_retires_idle_connections_that_stalled() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only, silence_ms=1_000, attempts=1) as fixture:
        await asyncio.gather(*(fixture.dispatcher.dispatch(request_for()) for _ in range(2)))
        only.silence()
        assert await fixture.pools.of(only.address).get("/health", 0.05) is not None
        outcome = await fixture.dispatcher.dispatch(request_for(deadline_s=0.2))
        assert outcome.is_ok()
