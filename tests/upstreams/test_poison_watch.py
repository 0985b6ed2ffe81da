"""Tests of requests that crash the daemon's own upstream targets."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest

from flamingoladder.config.model import Target
from flamingoladder.poison.detector import PoisonDetector
from flamingoladder.poison.exchange import LinkPoisonExchange
from flamingoladder.poison.history import RECORD_TTL_S
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.upstreams.attempt import AttemptFailure
from flamingoladder.upstreams.poison_watch import PoisonWatch
from flamingoladder.upstreams.poison_watch import fingerprints_of_request
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.gateway.states import FixedState
from tests.gateway.states import agreed
from tests.upstreams.dispatcher_fixture import NON_IDEMPOTENT
from tests.upstreams.dispatcher_fixture import dispatching
from tests.upstreams.dispatcher_fixture import request_for
from tests.upstreams.scripted_target import Behavior
from tests.upstreams.scripted_target import ScriptedTarget

if TYPE_CHECKING:
    from flamingoladder.standins.network import NetworkLinks

LIMIT = 2
LOST = AttemptFailure(AttemptOutcome.LOST, True, "the connection was lost")
SILENT = AttemptFailure(AttemptOutcome.SILENT, True, "nothing came")
TARGETS = {
    "a": Target(address="10.0.0.1:80", failure_domain="north-a"),
    "b": Target(address="10.0.0.2:80", failure_domain="south-a"),
}


def watch_of(links: NetworkLinks) -> PoisonWatch:
    recorder = Recorder(links.own.host, links.own.incarnation)
    now = asyncio.get_running_loop().time
    detector = PoisonDetector(LinkPoisonExchange(links), recorder, now)
    return PoisonWatch(detector, FixedState(agreed(TARGETS, crash_limit=LIMIT)))


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
        watch = watch_of(Network(Random(1)).join("h1", "i1"))
        request = fingerprints_of_request(request_for())
        works = [watch.begin(request, f"desk/{target}", began) for target, began, _ in losses]
        for work, (_, _, lost) in zip(works, losses, strict=True):
            watch.end(work, LOST, lost)
        assert (watch.refusal_of(request, 6.0) is not None) is refused
        assert watch.refusal_of(request, 6.0 + RECORD_TTL_S) is None

    run_on_injected_time(scenario())


def test_crashes_are_reported_to_peers_and_cleared_by_an_answer() -> None:
    async def scenario() -> None:
        network = Network(Random(1))
        watches = [watch_of(network.join(host, "i1")) for host in ("h1", "h2", "h3")]
        request = fingerprints_of_request(request_for())
        for watch, target in zip(watches, ("desk/a", "desk/b"), strict=False):
            watch.end(watch.begin(request, target, 0.0), LOST, 0.1)
        await asyncio.sleep(1.0)
        refusals = [watch.refusal_of(request, 1.0) for watch in watches]
        assert [refusal and refusal.verdict for refusal in refusals] == [Verdict.NOT_RUN] * 3
        watches[2].end(watches[2].begin(request, "desk/a", 1.0), Answer(200, (), b""), 1.1)
        await asyncio.sleep(1.0)
        assert [watch.refusal_of(request, 2.0) for watch in watches] == [None] * 3

    run_on_injected_time(scenario())


def test_target_that_answers_no_probe_counts_as_ended_for_requests_that_wait_there() -> None:
    async def scenario() -> None:
        watch = watch_of(Network(Random(1)).join("h1", "i1"))
        request = fingerprints_of_request(request_for())
        for target in ("desk/a", "desk/b"):
            work = watch.begin(request, target, asyncio.get_running_loop().time())
            await asyncio.sleep(1.0)
            watch.end(work, SILENT, asyncio.get_running_loop().time())
            watch.target_silent(target)
        refusal = watch.refusal_of(request, asyncio.get_running_loop().time())
        assert refusal is not None
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_s is not None

    run_on_injected_time(scenario())


def test_silence_counts_behind_a_request_that_is_older_than_the_last_answer() -> None:
    async def scenario() -> None:
        watch = watch_of(Network(Random(1)).join("h1", "i1"))
        request = fingerprints_of_request(request_for())
        other = fingerprints_of_request(request_for(NON_IDEMPOTENT))
        for target in ("desk/a", "desk/b"):
            watch.begin(other, target, asyncio.get_running_loop().time())
            answered = watch.begin(other, target, 0.0)
            await asyncio.sleep(0.5)
            watch.end(answered, Answer(200, (), b""), asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)
            watch.begin(request, target, asyncio.get_running_loop().time())
            await asyncio.sleep(1.0)
            watch.target_silent(target)
        assert watch.refusal_of(request, asyncio.get_running_loop().time()) is not None

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
