"""Tests of the verdicts: what is said of a request must be true of the target that got it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.upstreams.parts import IDEMPOTENT
from tests.upstreams.parts import ONCE
from tests.upstreams.parts import dispatching
from tests.upstreams.parts import request_for
from tests.upstreams.scripted import Act
from tests.upstreams.scripted import ScriptedTarget

if TYPE_CHECKING:
    from flamingoladder.config.model import Route

RAN = (Verdict.RAN, None)
LOST = (Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
SILENT = (Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)


@pytest.mark.parametrize("method", ["POST", "PUT"])
@pytest.mark.parametrize(
    ("act", "expected", "second_target_received"),
    [
        (Act.ANSWER, RAN, 0),
        (Act.CLOSE, LOST, 0),
        (Act.HALF, LOST, 0),
        (Act.NO_LENGTH, LOST, 0),
        (Act.CROSSED, LOST, 0),
        (Act.SILENT, SILENT, 0),
        (Act.UNMARKED_503, RAN, 0),
        (Act.SHED, RAN, 1),
    ],
)
async def test_non_idempotent_work_is_sent_again_only_if_it_certainly_did_not_run(
    method: str, act: Act, expected: tuple[Verdict, Reason | None], second_target_received: int
) -> None:
    first, second = ScriptedTarget("first", act), ScriptedTarget("second")
    async with dispatching(first, second) as parts:
        outcome = await parts.dispatcher.dispatch(request_for(ONCE, method, deadline_s=0.3))
        assert _told(outcome) == expected
        assert (len(first.received), len(second.received)) == (1, second_target_received)


@pytest.mark.parametrize(
    "act", [Act.CLOSE, Act.HALF, Act.NO_LENGTH, Act.CROSSED, Act.SILENT, Act.SHED]
)
async def test_idempotent_work_is_tried_at_another_target(act: Act) -> None:
    first, second = ScriptedTarget("first", act), ScriptedTarget("second")
    async with dispatching(first, second, silence_ms=50) as parts:
        outcome = await parts.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"second"


async def test_an_answer_can_be_encoded() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as parts:
        answer = (await parts.dispatcher.dispatch(request_for(ONCE))).ok
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=Answer) == answer


@pytest.mark.parametrize("route", [IDEMPOTENT, ONCE])
async def test_a_refused_connection_sends_any_work_elsewhere(route: Route) -> None:
    first, second = ScriptedTarget("first"), ScriptedTarget("second")
    async with dispatching(first, second) as parts:
        await first.stop()
        outcome = await parts.dispatcher.dispatch(request_for(route))
        assert outcome.ok.body == b"second"


@pytest.mark.parametrize("route", [IDEMPOTENT, ONCE])
async def test_with_all_targets_refusing_nothing_has_run(route: Route) -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as parts:
        await only.stop()
        outcome = await parts.dispatcher.dispatch(request_for(route))
        assert outcome.error.verdict is Verdict.NOT_RUN


async def test_a_connection_accepted_and_closed_may_have_taken_a_booking() -> None:
    first, second = ScriptedTarget("first"), ScriptedTarget("second")
    async with dispatching(first, second) as parts:
        first.accepts_and_closes = True
        outcome = await parts.dispatcher.dispatch(request_for(ONCE))
        assert outcome.error.verdict is Verdict.MAY_HAVE_RUN
        assert (first.connections, second.received) == (1, [])


async def test_a_kept_connection_that_the_target_closes_harms_neither_kind_of_work() -> None:
    only = ScriptedTarget("only", *[Act.ANSWER_AND_CLOSE] * 30)
    async with dispatching(only) as parts:
        for _ in range(10):
            assert (await parts.dispatcher.dispatch(request_for())).is_ok()
            assert (await parts.dispatcher.dispatch(request_for(ONCE))).is_ok()


@pytest.mark.parametrize("act", [Act.ANSWER_TWICE, Act.ANSWER_AGAIN_LATE])
async def test_an_unasked_second_answer_goes_to_nobody(act: Act) -> None:
    only = ScriptedTarget("only", act)
    async with dispatching(only) as parts:
        for number in range(5):
            outcome = await parts.dispatcher.dispatch(request_for(request_id=str(number)))
            assert outcome.ok.body == b"only"
            if act is Act.ANSWER_TWICE:
                await only.repeated.wait()
                await asyncio.sleep(0)


async def test_a_connection_closed_under_a_request_is_replaced_for_idempotent_work_only() -> None:
    only = ScriptedTarget("only", Act.ANSWER, Act.CLOSE, Act.ANSWER, Act.CLOSE)
    async with dispatching(only) as parts:
        assert (await parts.dispatcher.dispatch(request_for())).is_ok()
        assert (await parts.dispatcher.dispatch(request_for())).is_ok()
        booking = await parts.dispatcher.dispatch(request_for(ONCE))
        assert booking.error.verdict is Verdict.MAY_HAVE_RUN
        assert len(only.received) == 4


async def test_a_connection_with_a_crossed_answer_is_not_used_again() -> None:
    only = ScriptedTarget("only", Act.CROSSED)
    async with dispatching(only, attempts=1) as parts:
        assert (await parts.dispatcher.dispatch(request_for())).is_error()
        assert (await parts.dispatcher.dispatch(request_for())).is_ok()
        assert only.connections == 2


async def test_idle_connections_are_kept_for_idempotent_work_only() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as parts:
        for route in (IDEMPOTENT, IDEMPOTENT, ONCE, ONCE, IDEMPOTENT):
            assert (await parts.dispatcher.dispatch(request_for(route))).is_ok()
        assert only.connections == 3


@pytest.mark.parametrize("route", [IDEMPOTENT, ONCE])
async def test_an_answer_without_end_is_given_up_and_not_asked_for_again(route: Route) -> None:
    targets = [ScriptedTarget(name, Act.HUGE) for name in ("first", "second")]
    async with dispatching(*targets) as parts:
        outcome = await parts.dispatcher.dispatch(request_for(route))
        assert outcome.error.verdict is Verdict.MAY_HAVE_RUN
        assert outcome.error.reason is Reason.ANSWER_TOO_LARGE
        assert sum(len(target.received) for target in targets) == 1


@pytest.mark.parametrize("route", [IDEMPOTENT, ONCE])
async def test_nothing_leaves_once_its_key_is_withdrawn_while_it_waits_for_a_connection(
    route: Route,
) -> None:
    only = ScriptedTarget("only", Act.SLOW)
    async with dispatching(only, target_connections=2) as parts:
        first = asyncio.create_task(parts.dispatcher.dispatch(request_for(route)))
        await only.reached.wait()
        second = asyncio.create_task(parts.dispatcher.dispatch(request_for(route)))
        await asyncio.sleep(0.02)
        parts.state.set(grants=())
        assert (await second).error.reason is Reason.KEY_UNKNOWN
        assert (await first).is_ok()
        assert len(only.received) == 1


async def test_a_shed_booking_with_nowhere_to_go_has_not_run() -> None:
    only = ScriptedTarget("only", Act.SHED)
    async with dispatching(only) as parts:
        outcome = await parts.dispatcher.dispatch(request_for(ONCE))
        assert outcome.error.verdict is Verdict.NOT_RUN


async def test_a_refusal_after_an_attempt_that_may_have_run_says_so() -> None:
    first, second = ScriptedTarget("first", Act.CLOSE), ScriptedTarget("second")
    async with dispatching(first, second) as parts:
        await second.stop()
        outcome = await parts.dispatcher.dispatch(request_for())
        assert outcome.error.verdict is Verdict.MAY_HAVE_RUN


def _told(outcome: object) -> tuple[Verdict, Reason | None]:
    if outcome.is_ok():  # type: ignore[attr-defined]
        return RAN
    refusal = outcome.error  # type: ignore[attr-defined]
    return refusal.verdict, refusal.reason
