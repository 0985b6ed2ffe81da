"""Tests that verdicts match what the target did with the request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.upstreams.dispatcher_fixture import IDEMPOTENT
from tests.upstreams.dispatcher_fixture import NON_IDEMPOTENT
from tests.upstreams.dispatcher_fixture import dispatching
from tests.upstreams.dispatcher_fixture import request_for
from tests.upstreams.scripted_target import Behavior
from tests.upstreams.scripted_target import ScriptedTarget

if TYPE_CHECKING:
    from flamingoladder.config.model import Route

# Longer than a stop of the process and a repeated SYN; only the silent target uses it up.
DEADLINE_S = 1.5
RAN = (Verdict.RAN, None)
LOST = (Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
SILENT = (Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)


@pytest.mark.parametrize("method", ["POST", "PUT"])
@pytest.mark.parametrize(
    ("behavior", "expected", "second_target_received"),
    [
        (Behavior.ANSWER, RAN, 0),
        (Behavior.CLOSE, LOST, 0),
        (Behavior.HALF, LOST, 0),
        (Behavior.NO_LENGTH, LOST, 0),
        (Behavior.CROSSED, LOST, 0),
        (Behavior.NO_STATUS, LOST, 0),
        (Behavior.SWITCHES, LOST, 0),
        (Behavior.SILENT, SILENT, 0),
        (Behavior.UNMARKED_503, RAN, 0),
        (Behavior.SHED, RAN, 1),
    ],
)
async def test_non_idempotent_request_is_retried_only_if_it_did_not_run(
    method: str,
    behavior: Behavior,
    expected: tuple[Verdict, Reason | None],
    second_target_received: int,
) -> None:
    first, second = ScriptedTarget("first", behavior), ScriptedTarget("second")
    async with dispatching(first, second) as fixture:
        outcome = await fixture.dispatcher.dispatch(
            request_for(NON_IDEMPOTENT, method, deadline_s=DEADLINE_S)
        )
        assert _verdict_and_reason(outcome) == expected
        assert (len(first.received), len(second.received)) == (1, second_target_received)


@pytest.mark.parametrize(
    "behavior",
    [
        Behavior.CLOSE,
        Behavior.HALF,
        Behavior.NO_LENGTH,
        Behavior.CROSSED,
        Behavior.NO_STATUS,
        Behavior.SWITCHES,
        Behavior.SILENT,
        Behavior.SHED,
    ],
)
async def test_idempotent_request_is_retried_at_another_target(behavior: Behavior) -> None:
    first, second = ScriptedTarget("first", behavior), ScriptedTarget("second")
    async with dispatching(first, second, silence_ms=50) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for())
        assert outcome.ok.body == b"second"


async def test_answer_survives_encoding_and_decoding() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as fixture:
        answer = (await fixture.dispatcher.dispatch(request_for(NON_IDEMPOTENT))).ok
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=Answer) == answer


@pytest.mark.parametrize("route", [IDEMPOTENT, NON_IDEMPOTENT])
async def test_request_is_retried_at_another_target_after_a_refused_connection(
    route: Route,
) -> None:
    first, second = ScriptedTarget("first"), ScriptedTarget("second")
    async with dispatching(first, second) as fixture:
        await first.stop()
        outcome = await fixture.dispatcher.dispatch(request_for(route))
        assert outcome.ok.body == b"second"


@pytest.mark.parametrize("route", [IDEMPOTENT, NON_IDEMPOTENT])
async def test_verdict_is_not_run_if_all_targets_refuse_connections(route: Route) -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as fixture:
        await only.stop()
        outcome = await fixture.dispatcher.dispatch(request_for(route))
        assert outcome.error.verdict is Verdict.NOT_RUN


async def test_verdict_is_may_have_run_if_the_connection_is_accepted_and_closed() -> None:
    first, second = ScriptedTarget("first"), ScriptedTarget("second")
    async with dispatching(first, second) as fixture:
        first.accepts_and_closes = True
        outcome = await fixture.dispatcher.dispatch(request_for(NON_IDEMPOTENT))
        assert outcome.error.verdict is Verdict.MAY_HAVE_RUN
        assert (first.connections, second.received) == (1, [])


async def test_requests_succeed_if_the_target_closes_idle_connections() -> None:
    only = ScriptedTarget("only", *[Behavior.ANSWER_AND_CLOSE] * 30)
    async with dispatching(only) as fixture:
        for _ in range(10):
            assert (await fixture.dispatcher.dispatch(request_for())).is_ok()
            assert (await fixture.dispatcher.dispatch(request_for(NON_IDEMPOTENT))).is_ok()


@pytest.mark.parametrize("behavior", [Behavior.ANSWER_TWICE, Behavior.ANSWER_AGAIN_LATE])
async def test_unsolicited_second_answer_is_discarded(behavior: Behavior) -> None:
    only = ScriptedTarget("only", behavior)
    async with dispatching(only) as fixture:
        for number in range(5):
            outcome = await fixture.dispatcher.dispatch(request_for(request_id=str(number)))
            assert outcome.ok.body == b"only"
            if behavior is Behavior.ANSWER_TWICE:
                await only.repeated.wait()
                await asyncio.sleep(0)


@pytest.mark.parametrize("echoes", [True, False])
async def test_late_second_answer_never_reaches_the_next_caller(echoes: bool) -> None:
    """It did if the target's answers don't bring back the request's id."""
    only = ScriptedTarget("only", Behavior.COPY_LATE, echoes=echoes)
    async with dispatching(only) as fixture:
        for request_id in ("first", "second", "third"):
            outcome = await fixture.dispatcher.dispatch(request_for(request_id=request_id))
            assert outcome.is_error() or outcome.ok.body == b"only"


async def test_only_idempotent_request_is_retried_if_its_connection_closes() -> None:
    only = ScriptedTarget("only", Behavior.ANSWER, Behavior.CLOSE, Behavior.ANSWER, Behavior.CLOSE)
    async with dispatching(only) as fixture:
        assert (await fixture.dispatcher.dispatch(request_for())).is_ok()
        assert (await fixture.dispatcher.dispatch(request_for())).is_ok()
        non_idempotent = await fixture.dispatcher.dispatch(request_for(NON_IDEMPOTENT))
        assert non_idempotent.error.verdict is Verdict.MAY_HAVE_RUN
        assert len(only.received) == 4


async def test_connection_is_not_reused_after_an_answer_with_a_wrong_id() -> None:
    only = ScriptedTarget("only", Behavior.CROSSED)
    async with dispatching(only, attempts=1) as fixture:
        assert (await fixture.dispatcher.dispatch(request_for())).is_error()
        assert (await fixture.dispatcher.dispatch(request_for())).is_ok()
        assert only.connections == 2


async def test_only_idempotent_requests_reuse_connections() -> None:
    only = ScriptedTarget("only")
    async with dispatching(only) as fixture:
        for route in (IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT):
            assert (await fixture.dispatcher.dispatch(request_for(route))).is_ok()
        assert only.connections == 3


@pytest.mark.parametrize("route", [IDEMPOTENT, NON_IDEMPOTENT])
async def test_endless_answer_is_aborted_and_not_retried(route: Route) -> None:
    targets = [ScriptedTarget(name, Behavior.HUGE) for name in ("first", "second")]
    async with dispatching(*targets) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for(route))
        assert outcome.error.verdict is Verdict.MAY_HAVE_RUN
        assert outcome.error.reason is Reason.ANSWER_TOO_LARGE
        assert sum(len(target.received) for target in targets) == 1


@pytest.mark.parametrize("route", [IDEMPOTENT, NON_IDEMPOTENT])
async def test_request_is_not_sent_if_its_key_is_withdrawn_while_it_waits_for_a_connection(
    route: Route,
) -> None:
    only = ScriptedTarget("only", Behavior.SLOW)
    async with dispatching(only, target_connections=2) as fixture:
        first = asyncio.create_task(fixture.dispatcher.dispatch(request_for(route)))
        await only.reached.wait()
        second = asyncio.create_task(fixture.dispatcher.dispatch(request_for(route)))
        await asyncio.sleep(0.02)
        fixture.state.set(grants=())
        assert (await second).error.reason is Reason.KEY_UNKNOWN
        assert (await first).is_ok()
        assert len(only.received) == 1


async def test_verdict_is_not_run_if_the_only_target_sheds() -> None:
    only = ScriptedTarget("only", Behavior.SHED)
    async with dispatching(only) as fixture:
        outcome = await fixture.dispatcher.dispatch(request_for(NON_IDEMPOTENT))
        assert outcome.error.verdict is Verdict.NOT_RUN


async def test_refusal_is_may_have_run_after_an_attempt_that_may_have_run() -> None:
    first, second = ScriptedTarget("first", Behavior.CLOSE), ScriptedTarget("second")
    async with dispatching(first, second) as fixture:
        await second.stop()
        outcome = await fixture.dispatcher.dispatch(request_for())
        assert outcome.error.verdict is Verdict.MAY_HAVE_RUN


def _verdict_and_reason(outcome: object) -> tuple[Verdict, Reason | None]:
    if outcome.is_ok():  # type: ignore[attr-defined]
        return RAN
    refusal = outcome.error  # type: ignore[attr-defined]
    return refusal.verdict, refusal.reason
