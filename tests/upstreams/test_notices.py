"""Tests of upstream targets that say in their answers that they leave or want a pause."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.steering.chooser import Reservation
from flamingoladder.targets.pause import MAX_PAUSE_S
from flamingoladder.targets.pause import TargetPause
from flamingoladder.upstreams.health import TargetHealth
from flamingoladder.upstreams.probe_messages import ProbeReply
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict
from tests.steering.chaos_fleet import TARGETS
from tests.steering.chaos_fleet import ChaosFleet
from tests.steering.chaos_fleet import ChaosHost
from tests.upstreams.dispatcher_fixture import IDEMPOTENT
from tests.upstreams.dispatcher_fixture import NON_IDEMPOTENT
from tests.upstreams.dispatcher_fixture import DispatcherFixture
from tests.upstreams.dispatcher_fixture import dispatching
from tests.upstreams.dispatcher_fixture import request_for
from tests.upstreams.scripted_target import Behavior
from tests.upstreams.scripted_target import ScriptedTarget

PAUSE_S = 0.6
REQUESTS = 10
# Long enough for all hosts' turns, which follow a pause.
TURNS_S = 1.0


async def dispatch_some(fixture: DispatcherFixture) -> bool:
    """Return whether all of some requests are answered."""
    outcomes = [await fixture.dispatcher.dispatch(request_for()) for _ in range(REQUESTS)]
    return all(outcome.is_ok() for outcome in outcomes)


@pytest.mark.parametrize(
    "behavior", [Behavior.ANSWER, Behavior.SHED, Behavior.UNMARKED_503, Behavior.SLOW]
)
async def test_a_target_that_says_that_it_leaves_gets_no_new_request(behavior: Behavior) -> None:
    first, second = ScriptedTarget("first", behavior), ScriptedTarget("second")
    first.says = "Server-Leaving: 1\r\n"
    async with dispatching(first, second) as fixture:
        assert await dispatch_some(fixture)
        assert len(first.received) == 1
        first.says = ""
        assert await dispatch_some(fixture)
        assert len(first.received) == 1


@pytest.mark.parametrize("behavior", [Behavior.SHED, Behavior.UNMARKED_503])
async def test_a_target_gets_nothing_in_its_pause_and_work_after_it(behavior: Behavior) -> None:
    first, second = ScriptedTarget("first", behavior), ScriptedTarget("second")
    first.says = f"Retry-After: {PAUSE_S}\r\n"
    async with dispatching(first, second) as fixture:
        assert await dispatch_some(fixture)
        first.says = ""
        await asyncio.sleep(PAUSE_S / 2)
        assert await dispatch_some(fixture)
        assert len(first.received) == 1
        await asyncio.sleep(PAUSE_S / 2 + TURNS_S)
        assert await dispatch_some(fixture)
        assert len(first.received) > 1


async def test_a_503_without_the_word_is_the_outcome_of_a_booking_and_its_pause_holds() -> None:
    first, second = ScriptedTarget("first", Behavior.UNMARKED_503), ScriptedTarget("second")
    first.says = f"Retry-After: {PAUSE_S}\r\n"
    async with dispatching(first, second) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for(NON_IDEMPOTENT))
        assert outcome.ok.status == 503
        assert second.received == []
        assert await dispatch_some(fixture)
        assert len(first.received) == 1


@pytest.mark.parametrize(
    ("named", "event", "rests_s"),
    [
        ("0", None, 0.0),
        ("-1", "target.pause_unreadable", 0.0),
        ("nan", "target.pause_unreadable", 0.0),
        ("Wed, 21 Oct 2026 07:28:00 GMT", "target.pause_unreadable", 0.0),
        ("1e9", "target.pause_bounded", MAX_PAUSE_S),
        ("0.5", "target.paused", 0.5),
    ],
)
async def test_what_the_field_may_hold(named: str, event: str | None, rests_s: float) -> None:
    only = ScriptedTarget("first", Behavior.SHED)
    only.says = f"Retry-After: {named}\r\n"
    async with dispatching(only) as fixture:
        await fixture.dispatcher.dispatch(request_for(IDEMPOTENT))
        now = asyncio.get_running_loop().time()
        rest_s = fixture.board.of("desk/first").rest_s(now)
        assert rest_s == pytest.approx(rests_s, abs=0.4 if rests_s else 0.0)
        kinds = {found.kind for found in fixture.recorder.since(0)}
        assert event is None or event in kinds
        assert ("target.pause_unreadable" in kinds) == (event == "target.pause_unreadable")


@pytest.mark.parametrize(
    ("replies", "leaving"),
    [
        ([ProbeReply(True)], True),
        ([ProbeReply(False), ProbeReply(True)], True),
        ([ProbeReply(False, answered=False)], True),
        ([ProbeReply(False, answered=False), ProbeReply(True, draining=True)], True),
        ([ProbeReply(False, answered=False), ProbeReply(True)], False),
    ],
)
def test_only_the_next_start_ends_a_leaving(replies: list[ProbeReply], *, leaving: bool) -> None:
    health = TargetHealth()
    health.leaving = True
    for reply in replies:
        health.record_probe(reply)
    assert health.leaving == leaving
    assert health.usable(0.0) == (not leaving)


def _rest(host: ChaosHost, pause_s: float | None) -> None:
    """Let all targets rest, or leave if there is no time."""
    now = asyncio.get_running_loop().time()
    for name in TARGETS:
        health = host.chooser._health_board.of(f"desk/{name}")
        if pause_s is None:
            health.leaving = True
        else:
            health.pause = TargetPause()
            health.pause.name(pause_s, 0.0, now)


def settled_host() -> ChaosHost:
    """Return the only host, which owns all slots."""
    return ChaosFleet(1, hosts=1, settles_at=0.0).hosts["h0"]


async def _reserve(host: ChaosHost) -> Reservation | Refusal:
    now = asyncio.get_running_loop().time()
    return await host.chooser.reserve(request_for(), (), now)


@pytest.mark.parametrize(("pause_s", "least_s"), [(5.0, 4.0), (None, 0.0)])
async def test_while_no_target_takes_work_requests_are_refused_at_once(
    pause_s: float | None, least_s: float
) -> None:
    host = settled_host()
    _rest(host, pause_s)
    started = asyncio.get_running_loop().time()
    refusal = await _reserve(host)
    assert asyncio.get_running_loop().time() - started < 0.1
    assert isinstance(refusal, Refusal)
    assert refusal.verdict is Verdict.NOT_RUN
    assert least_s <= (refusal.retry_after_s or 0.0) <= 5.0
    host.chooser.close()


async def test_requests_that_wait_are_refused_when_all_targets_begin_to_rest() -> None:
    host = settled_host()
    slots = sum(target.slots or 0 for target in TARGETS.values())
    held = [await _reserve(host) for _ in range(slots)]
    waiting = asyncio.create_task(_reserve(host))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    _rest(host, 5.0)
    first = held[0]
    assert not isinstance(first, Refusal)
    first.release(AttemptOutcome.SHED, asyncio.get_running_loop().time())
    refusal = await asyncio.wait_for(waiting, 0.5)
    assert isinstance(refusal, Refusal)
    assert (refusal.retry_after_s or 0.0) > 4.0
    host.chooser.close()
