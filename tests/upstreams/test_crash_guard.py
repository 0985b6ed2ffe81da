"""Tests of the guard against requests that crash targets."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network
from flamingoladder.upstreams.crash_guard import SIGHTINGS_LIFETIME_S
from flamingoladder.upstreams.crash_guard import CrashGuard
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.upstreams.parts import ONCE
from tests.upstreams.parts import dispatching
from tests.upstreams.parts import request_for
from tests.upstreams.scripted import Act
from tests.upstreams.scripted import ScriptedTarget

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
def test_crashes_are_counted_and_not_the_connections_lost_in_one(
    losses: list[tuple[str, float, float]], refused: bool
) -> None:
    async def scenario() -> None:
        guard = CrashGuard(Network(Random(1)).join("h1", "i1"))
        request = request_for()
        for target, started, lost in losses:
            guard.saw_loss(request, target, started, lost)
        assert (guard.refusal_of(request, LIMIT, 6.0) is not None) is refused
        assert guard.refusal_of(request, LIMIT, 6.0 + SIGHTINGS_LIFETIME_S) is None

    run_on_injected_time(scenario())


def test_peers_learn_of_crashes_and_an_answer_clears_them() -> None:
    async def scenario() -> None:
        network = Network(Random(1))
        guards = [CrashGuard(network.join(host, "i1")) for host in ("h1", "h2", "h3")]
        request = request_for()
        guards[0].saw_loss(request, "desk/a", 0.0, 0.1)
        guards[1].saw_loss(request, "desk/b", 0.0, 0.1)
        await asyncio.sleep(1.0)
        refusals = [guard.refusal_of(request, LIMIT, 1.0) for guard in guards]
        assert [refusal and refusal.verdict for refusal in refusals] == [Verdict.NOT_RUN] * 3
        guards[2].saw_answer(request)
        assert guards[2].refusal_of(request, LIMIT, 1.0) is None

    run_on_injected_time(scenario())


async def test_a_request_that_crashes_targets_is_stopped_within_its_own_attempts() -> None:
    targets = [ScriptedTarget(name, Act.CLOSE) for name in ("a", "b", "c")]
    async with dispatching(*targets, crash_limit=LIMIT) as parts:
        first = await parts.dispatcher.dispatch(request_for())
        again = await parts.dispatcher.dispatch(request_for())
        assert first.error.verdict is Verdict.MAY_HAVE_RUN
        assert again.error.verdict is Verdict.NOT_RUN
        assert again.error.reason is Reason.REQUEST_CRASHES_UPSTREAMS
        assert sum(len(target.received) for target in targets) == LIMIT


async def test_a_booking_that_crashes_targets_is_stopped_under_new_keys_too() -> None:
    targets = [ScriptedTarget(name, *[Act.CLOSE] * 4) for name in ("a", "b", "c")]
    async with dispatching(*targets, crash_limit=LIMIT) as parts:
        outcomes = [await parts.dispatcher.dispatch(request_for(ONCE)) for _ in range(4)]
        assert [outcome.error.verdict for outcome in outcomes] == [
            Verdict.MAY_HAVE_RUN,
            Verdict.MAY_HAVE_RUN,
            Verdict.NOT_RUN,
            Verdict.NOT_RUN,
        ]
