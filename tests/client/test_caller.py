"""Tests of the caller library against gateways and scripted entry hosts."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

import msgspec
import pytest
from expression import Error

from flamingoladder.client.call import Call
from flamingoladder.client.caller import Caller
from flamingoladder.client.settings import CallerSettings
from flamingoladder.platform.standins.foreign_rows import NESTED_JSON
from flamingoladder.steering.lookup import MemberLookup
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict
from tests.gateway.fakes import MemoryLedger
from tests.gateway.fakes import running_gateway
from tests.gateway.states import KEY
from tests.gateway.states import FixedState
from tests.gateway.states import agreed
from tests.upstreams.scripted_target import Behavior
from tests.upstreams.scripted_target import ScriptedTarget
from tests.upstreams.scripted_target import running_targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from expression import Result

    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import RequestRunner
    from flamingoladder.steering.lookup import LookupAnswer
    from flamingoladder.verdict import Outcome
    from tests.gateway.fakes import Gateway

NOWHERE = "http://127.0.0.1:1"


class StorelessLedger(MemoryLedger):
    """Runs only requests that carry a ticket."""

    __slots__ = ("_ticket_outcomes", "fresh", "keys")

    def __init__(self, ticket_outcomes: Sequence[Refusal] = ()) -> None:
        super().__init__()
        self._ticket_outcomes = list(ticket_outcomes)
        self.fresh: list[bool] = []
        self.keys: list[str | None] = []

    async def run_once(self, request: CallerRequest, run: RequestRunner) -> Outcome:
        """Refuse the request with a ticket, or run the ticket."""
        self.fresh.append(request.fresh_key)
        self.keys.append(request.idempotency_key)
        if request.idempotency_key == "t1" and self._ticket_outcomes:
            return Error(self._ticket_outcomes.pop(0))
        if request.idempotency_key == "t1":
            return await super().run_once(request, run)
        refusal = Refusal.not_run(Reason.CLAIM_STORE_UNAVAILABLE, "store is down")
        return Error(msgspec.structs.replace(refusal, ticket="t1"))


class CountedLookup(MemberLookup):
    """Counts the look-ups."""

    __slots__ = ("asked",)

    def __init__(self, state: FixedState, failure_domain: str, region: str) -> None:
        super().__init__(state, failure_domain, region)
        self.asked = 0

    def lookup(self, service: str, now: float) -> Result[LookupAnswer, Refusal]:
        """Count and answer."""
        self.asked += 1
        return super().lookup(service, now)


@asynccontextmanager
async def two_gateways(
    first_url: str | None = None, lifetime_s: float = 5.0
) -> AsyncIterator[tuple[Gateway, Gateway, Caller]]:
    """Run two gateways whose look-ups name the first, or ``first_url``, before the second."""
    state = FixedState(agreed(lookup_lifetime_s=lifetime_s))
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(running_gateway(state))
        second = await stack.enter_async_context(running_gateway(state))
        urls = (first_url or first.url, second.url)
        members = zip(state.current.members, urls, strict=False)
        named = [msgspec.structs.replace(member, caller_url=url) for member, url in members]
        state.set(members=tuple(named))
        settings = CallerSettings(entry_urls=(NOWHERE, second.url), key=KEY, deadline_ms=1_000)
        caller = await stack.enter_async_context(Caller(settings, Random(1)))
        yield first, second, caller


def booking() -> Call:
    """Return a non-idempotent call."""
    return Call("desk", "/bookings", "POST", b"two tents")


async def test_a_call_goes_to_the_host_that_the_look_up_names_first() -> None:
    async with two_gateways() as (first, second, caller):
        outcome = await caller.call(Call("desk", "/x?size=2"))
        assert outcome.ok.body == b"/x?size=2"
        assert (len(first.dispatcher.requests), len(second.dispatcher.requests)) == (1, 0)


async def test_calls_at_the_same_time_share_a_look_up() -> None:
    async with two_gateways() as (_, second, caller):
        counted = second.stages.lookups = CountedLookup(second.state, "north-a", "north")
        calls = (caller.call(Call("desk", "/x")) for _ in range(10))
        assert all(outcome.is_ok() for outcome in await asyncio.gather(*calls))
        assert counted.asked == 1


@pytest.mark.parametrize(("lifetime_s", "look_ups"), [(60.0, 1), (0.0, 3)])
async def test_look_up_answers_are_kept_for_their_lifetime(
    lifetime_s: float, look_ups: int
) -> None:
    async with two_gateways(lifetime_s=lifetime_s) as (_, second, caller):
        counted = second.stages.lookups = CountedLookup(second.state, "north-a", "north")
        for _ in range(3):
            assert (await caller.call(Call("desk", "/x"))).is_ok()
        assert counted.asked == look_ups


async def test_a_booking_goes_to_another_host_only_after_not_run_and_keeps_its_key() -> None:
    async with two_gateways() as (first, second, caller):
        await first.server.stop(0.0)
        call = booking()
        assert (await caller.call(call)).is_ok()
        assert second.dispatcher.requests[0].idempotency_key == call.idempotency_key


@pytest.mark.parametrize("act", [Behavior.CLOSE, Behavior.HALF, Behavior.SILENT])
async def test_a_booking_lost_with_its_host_is_never_sent_again(act: Behavior) -> None:
    host = ScriptedTarget("host", act)
    async with running_targets(host), two_gateways(f"http://{host.address}") as (_, second, caller):
        outcome = await caller.call(booking())
        assert outcome.error.verdict is Verdict.MAY_HAVE_RUN
        assert (len(host.received), second.dispatcher.requests) == (1, [])


@pytest.mark.parametrize("act", [Behavior.CLOSE, Behavior.HALF, Behavior.SILENT])
async def test_an_idempotent_call_is_sent_to_another_host(act: Behavior) -> None:
    host = ScriptedTarget("host", act)
    async with (
        running_targets(host),
        two_gateways(f"http://{host.address}") as (_, _second, caller),
    ):
        outcome = await caller.call(Call("desk", "/x"))
        assert outcome.ok.body == b"/x"


@pytest.mark.parametrize("answer", ["no look-up", NESTED_JSON.decode()])
async def test_a_look_up_that_cannot_be_read_is_no_answer(answer: str) -> None:
    """The call ended with the decoder's error."""
    host = ScriptedTarget(answer)
    async with running_targets(host), two_gateways() as (_, second, _caller):
        urls = (f"http://{host.address}", second.url)
        async with Caller(CallerSettings(entry_urls=urls, key=KEY), Random(1)) as caller:
            assert (await caller.call(Call("desk", "/x"))).ok.body == b"/x"


async def test_a_ticket_is_used_on_the_host_that_gave_it() -> None:
    ledger = StorelessLedger()
    async with two_gateways() as (first, second, caller):
        first.stages.ledger = ledger
        call = booking()
        assert (await caller.call(call)).is_ok()
        assert ledger.keys == [call.idempotency_key, "t1"]
        assert second.dispatcher.requests == []
        assert call.key_in_use == "t1"
        assert (await caller.outcome_of(call)).ok.body == b"/bookings"


@pytest.mark.parametrize(
    ("own_key", "act", "stated"),
    [
        (None, Behavior.ANSWER, [True, False]),
        (None, Behavior.CLOSE, [True, False]),
        ("kept-by-the-application", Behavior.ANSWER, [False, False]),
    ],
)
async def test_a_key_is_called_fresh_only_while_nothing_is_in_doubt(
    own_key: str | None, act: Behavior, stated: list[bool]
) -> None:
    host = ScriptedTarget("host", act)
    async with (
        running_targets(host),
        two_gateways(f"http://{host.address}") as (_, _second, caller),
    ):
        call = Call("desk", "/bookings", "POST", idempotency_key=own_key)
        await caller.call(call)
        await caller.call(call)
    assert ["Flamingoladder-Fresh-Key: 1" in head for head in host.received] == stated


async def test_a_ticket_in_doubt_is_the_only_key_of_its_call() -> None:
    ledger = StorelessLedger(ticket_outcomes=[Refusal.may_have_run(Reason.UPSTREAM_LOST, "lost")])
    async with two_gateways() as (first, second, caller):
        first.stages.ledger = second.stages.ledger = ledger
        call = booking()
        assert (await caller.call(call)).error.verdict is Verdict.MAY_HAVE_RUN
        await caller.call(call)
        assert ledger.keys == [call.idempotency_key, "t1", "t1"]


async def test_a_key_stays_fresh_after_not_run() -> None:
    ledger = StorelessLedger()
    async with two_gateways() as (first, second, caller):
        first.stages.ledger = second.stages.ledger = ledger
        call = booking()
        call.fresh_key = True
        await caller.call(call)
        assert ledger.fresh == [True, True]
        assert not call.fresh_key


async def test_a_refusal_that_no_other_host_could_help_is_final() -> None:
    async with two_gateways() as (first, second, caller):
        outcome = await caller.call(Call("desk", "/x", "DELETE"))
        assert outcome.error.reason is Reason.UNKNOWN_ROUTE
        assert first.dispatcher.requests == second.dispatcher.requests == []


async def test_an_outcome_that_no_host_can_tell_stays_unknown() -> None:
    async with two_gateways() as (first, second, caller):
        call = booking()
        await caller.call(call)
        first.state.proof = False
        unknown = await caller.outcome_of(call)
        assert unknown.error.verdict is Verdict.MAY_HAVE_RUN
        assert second.dispatcher.requests == []


async def test_an_outcome_asked_of_no_reachable_host_stays_unknown() -> None:
    async with Caller(CallerSettings(entry_urls=(NOWHERE,), deadline_ms=200)) as caller:
        unknown = await caller.outcome_of(booking())
        assert unknown.error.verdict is Verdict.MAY_HAVE_RUN
        refused = await caller.call(booking())
        assert refused.error.verdict is Verdict.NOT_RUN
