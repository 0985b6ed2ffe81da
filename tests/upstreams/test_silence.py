"""Tests of silence, cancellation and deadlines on real connections."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.upstreams.parts import dispatching
from tests.upstreams.parts import request_for
from tests.upstreams.scripted import Act
from tests.upstreams.scripted import ScriptedTarget


async def test_kept_connections_are_given_up_once_one_went_silent_while_new_ones_work() -> None:
    only = ScriptedTarget("only", Act.ANSWER, Act.ANSWER, Act.SILENT)
    async with dispatching(only, silence_ms=50, attempts=1) as parts:
        pair = [parts.dispatcher.dispatch(request_for()) for _ in range(2)]
        assert all(outcome.is_ok() for outcome in await asyncio.gather(*pair))
        used = only.connections
        silent = await parts.dispatcher.dispatch(request_for(deadline_s=0.3))
        assert silent.error.reason is Reason.UPSTREAM_SILENT
        assert (await parts.dispatcher.dispatch(request_for())).is_ok()
        probe, fresh = 1, 1
        assert only.connections == used + probe + fresh


async def test_without_a_retry_to_spend_a_slow_request_is_waited_for() -> None:
    first, second = ScriptedTarget("first", Act.SLOW), ScriptedTarget("second")
    async with dispatching(first, second, silence_ms=20, attempts=1) as parts:
        outcome = await parts.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"first"


async def test_a_slow_answer_still_counts_while_a_second_target_is_tried() -> None:
    first, second = ScriptedTarget("first", Act.SLOW), ScriptedTarget("second", Act.SILENT)
    async with dispatching(first, second, silence_ms=20, attempts=2) as parts:
        outcome = await parts.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"first"
        assert len(second.received) == 1
        await asyncio.wait_for(second.hung_up.wait(), 0.5)


async def test_a_second_attempt_under_way_is_waited_for_when_the_first_is_lost() -> None:
    first = ScriptedTarget("first", Act.SLOW_CLOSE)
    second = ScriptedTarget("second", Act.SLOWER)
    async with dispatching(first, second, silence_ms=20, attempts=2) as parts:
        outcome = await parts.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"second"
        assert (len(first.received), len(second.received)) == (1, 1)


async def test_the_only_target_is_tried_again_over_a_new_connection() -> None:
    only = ScriptedTarget("only", Act.SILENT)
    async with dispatching(only, silence_ms=50) as parts:
        outcome = await parts.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"only"


async def test_an_answer_that_stops_half_way_is_found() -> None:
    first, second = ScriptedTarget("first", Act.STALL), ScriptedTarget("second")
    async with dispatching(first, second, silence_ms=50) as parts:
        sent = parts.dispatcher.dispatch(request_for(deadline_s=60.0))
        outcome = await asyncio.wait_for(sent, 5.0)
        assert outcome.ok.body == b"second"


@pytest.mark.parametrize("deadline_s", [0.2, 60.0])
async def test_an_abandoned_request_closes_its_connection(deadline_s: float) -> None:
    only = ScriptedTarget("only", Act.SILENT)
    async with dispatching(only, attempts=1) as parts:
        sent = asyncio.create_task(parts.dispatcher.dispatch(request_for(deadline_s=deadline_s)))
        await only.reached.wait()
        if deadline_s > 1:
            sent.cancel()
        else:
            assert (await sent).error.verdict is Verdict.MAY_HAVE_RUN
        await asyncio.wait_for(only.hung_up.wait(), 2.0)
        assert (await parts.dispatcher.dispatch(request_for())).ok.body == b"only"


async def test_the_target_learns_deadline_request_and_workspace() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as parts:
        await parts.dispatcher.dispatch(request_for(deadline_s=1.5))
        lines = only.received[0].lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        assert 0 < int(fields["flamingoladder-deadline-ms"]) <= 1_500
        assert fields["x-request-id"] == "r1"
        assert fields["flamingoladder-workspace"] == "midnight-sun"


async def test_a_probe_finds_idle_connections_that_went_silent() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only, silence_ms=1_000, attempts=1) as parts:
        await asyncio.gather(*(parts.dispatcher.dispatch(request_for()) for _ in range(2)))
        only.silence()
        assert await parts.pools.of(only.address).get("/health", 0.05) is not None
        outcome = await parts.dispatcher.dispatch(request_for(deadline_s=0.2))
        assert outcome.is_ok()
