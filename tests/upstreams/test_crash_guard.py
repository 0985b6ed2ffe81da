"""Tests of the guard against requests that crash targets."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network
from flamingoladder.upstreams.crash_guard import CRASH_RECORD_TTL_S
from flamingoladder.upstreams.crash_guard import CrashGuard
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.upstreams.dispatcher_fixture import NON_IDEMPOTENT
from tests.upstreams.dispatcher_fixture import dispatching
from tests.upstreams.dispatcher_fixture import request_for
from tests.upstreams.scripted_target import Behavior
from tests.upstreams.scripted_target import ScriptedTarget

LIMIT = 2


@pytest.mark.parametrize(
    ("losses", "refused"),
    [
        ([], False),
        ([("a", 0.0, 1.0)], False),
        ([("a", 0.0, 1.0), ("a", 0.5, 1.0)], False),
        ([("a", 0.0, 1.0), ("b", 0.5, 1.0)], True),
        ([("a", 0.0, 1.0), ("a", 1.1, 1.2)], True),
    ],
)
def test_attempts_lost_in_one_crash_count_once(
    losses: list[tuple[str, float, float]], refused: bool
) -> None:
    async def scenario() -> None:
        guard = CrashGuard(Network(Random(1)).join("h1", "i1"))
        request = request_for()
        for target, started, lost in losses:
            guard.record_loss(request, target, started, lost)
        assert (guard.refusal_of(request, LIMIT, 6.0) is not None) is refused
        assert guard.refusal_of(request, LIMIT, 6.0 + CRASH_RECORD_TTL_S) is None

    run_on_injected_time(scenario())


def test_crashes_are_reported_to_peers_and_cleared_by_an_answer() -> None:
    async def scenario() -> None:
        network = Network(Random(1))
        guards = [CrashGuard(network.join(host, "i1")) for host in ("h1", "h2", "h3")]
        request = request_for()
        guards[0].record_loss(request, "desk/a", 0.0, 0.1)
        guards[1].record_loss(request, "desk/b", 0.0, 0.1)
        await asyncio.sleep(1.0)
        refusals = [guard.refusal_of(request, LIMIT, 1.0) for guard in guards]
        assert [refusal and refusal.verdict for refusal in refusals] == [Verdict.NOT_RUN] * 3
        guards[2].clear_crashes(request)
        assert guards[2].refusal_of(request, LIMIT, 1.0) is None

    run_on_injected_time(scenario())


async def test_crashing_request_is_not_retried_beyond_the_crash_limit() -> None:
    targets = [ScriptedTarget(name, Behavior.CLOSE) for name in ("a", "b", "c")]
    async with dispatching(*targets, crash_limit=LIMIT) as fixture:
        first = await fixture.dispatcher.dispatch(request_for())
        again = await fixture.dispatcher.dispatch(request_for())
        assert first.error.verdict is Verdict.MAY_HAVE_RUN
        assert again.error.verdict is Verdict.NOT_RUN
        assert again.error.reason is Reason.REQUEST_CRASHES_UPSTREAMS
        assert sum(len(target.received) for target in targets) == LIMIT


async def test_crashing_non_idempotent_request_is_refused_when_repeated() -> None:
    targets = [ScriptedTarget(name, *[Behavior.CLOSE] * 4) for name in ("a", "b", "c")]
    async with dispatching(*targets, crash_limit=LIMIT) as fixture:
        outcomes = [
            await fixture.dispatcher.dispatch(request_for(NON_IDEMPOTENT)) for _ in range(4)
        ]
        assert [outcome.error.verdict for outcome in outcomes] == [
            Verdict.MAY_HAVE_RUN,
            Verdict.MAY_HAVE_RUN,
            Verdict.NOT_RUN,
            Verdict.NOT_RUN,
        ]
