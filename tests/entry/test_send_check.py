"""Tests of the check between the wait for a connection and the send."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.entry.request import RoutedRequest
from flamingoladder.entry.results import SendResult
from flamingoladder.entry.results import SendStatus
from flamingoladder.entry.send_check import SendCheck
from flamingoladder.routing.model import ServiceShare
from flamingoladder.routing.model import Workspace
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.notices import TargetNotice
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict
from tests.entry.harness import CONNECTION_LOST
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming
from tests.entry.harness import routing_config

if TYPE_CHECKING:
    from collections.abc import Callable

OTHER = Workspace(name="other", rate_per_s=0.0, burst=0.0)
LEFT = Refusal.not_run(Reason.UPSTREAM_UNREACHABLE, "left")
WITHDRAWN = Refusal.not_run(Reason.KEY_UNKNOWN, "withdrawn")


def _reconfigure(harness: EntryHarness, **changes: object) -> None:
    newer = msgspec.structs.replace(routing_config(), version=2, **changes)
    harness.configuration.set_routing(newer, 0.0)


def _drain(harness: EntryHarness) -> None:
    target = harness.targets.by_id["t0"]
    drained = msgspec.structs.replace(target.record, draining=True)
    harness.targets.put(drained, 0.0)


def _say(**said: object) -> Callable[[EntryHarness], None]:
    def learn(harness: EntryHarness) -> None:
        target, now = harness.targets.by_id["t0"], asyncio.get_running_loop().time()
        harness.notices.learn(target, TargetNotice(**said), now, now)  # type: ignore[arg-type]

    return learn


def _move_route(harness: EntryHarness) -> None:
    moved = routing_config(shares=(ServiceShare("elsewhere", 1.0),))
    _reconfigure(harness, routes_by_host=moved.routes_by_host)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda harness: None, None),
        (_reconfigure, None),
        (_drain, Reason.UPSTREAM_UNREACHABLE),
        (lambda harness: harness.targets.remove("t0", "left"), Reason.UPSTREAM_UNREACHABLE),
        (
            lambda harness: harness.targets.set_evacuated(["d1"], 0.0, 0.0),
            Reason.UPSTREAM_UNREACHABLE,
        ),
        (_say(leaving=True), Reason.UPSTREAM_UNREACHABLE),
        (_say(pause=PauseNotice(5.0)), Reason.UPSTREAM_UNREACHABLE),
        (_say(pause=PauseNotice(0.0, unreadable="soon")), None),
        (lambda harness: _reconfigure(harness, workspaces_by_key={}), Reason.KEY_UNKNOWN),
        (lambda harness: _reconfigure(harness, workspaces_by_key={"k": OTHER}), Reason.KEY_UNKNOWN),
        (lambda harness: _reconfigure(harness, routes_by_host={}), Reason.UNKNOWN_ROUTE),
        (_move_route, Reason.NO_CAPACITY),
    ],
)
async def test_what_changed_during_the_wait_decides(
    change: Callable[[EntryHarness], None], reason: Reason | None
) -> None:
    harness = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time()
    request = harness.handler._admit(incoming(), now, now)
    assert isinstance(request, RoutedRequest)
    check = SendCheck(harness.configuration, harness.targets)
    target = harness.targets.by_id["t0"]
    change(harness)
    refusal = check.refusal_of(request, target, now)
    assert (None if refusal is None else refusal.reason) == reason


async def test_request_is_not_sent_after_a_pause_that_was_longer_than_its_deadline() -> None:
    harness = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time()
    request = harness.handler._admit(incoming(), now, now)
    assert isinstance(request, RoutedRequest)
    check = SendCheck(harness.configuration, harness.targets)
    target = harness.targets.by_id["t0"]
    assert check.refusal_of(request, target, request.connect_by - 0.01) is None
    refusal = check.refusal_of(request, target, request.connect_by)
    assert refusal is not None
    assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, Reason.DEADLINE_PASSED)


async def test_request_is_sent_to_another_target_if_the_first_left_before_the_send() -> None:
    harness = EntryHarness(FakeTargetClient(SendResult(SendStatus.REFUSED, "left", refusal=LEFT)))
    outcome = await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert outcome.is_ok()
    assert len(set(harness.client.sent)) == 2
    assert not any(target.down for target in harness.targets.by_id.values())


@pytest.mark.parametrize(
    ("earlier", "verdict", "reason"),
    [
        ((), Verdict.NOT_RUN, Reason.KEY_UNKNOWN),
        ((CONNECTION_LOST,), Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST),
    ],
)
async def test_withdrawn_key_is_refused_and_never_as_not_run_after_a_send(
    earlier: tuple[SendResult, ...], verdict: Verdict, reason: Reason
) -> None:
    refused = SendResult(SendStatus.REFUSED, "withdrawn", refusal=WITHDRAWN)
    harness = EntryHarness(FakeTargetClient(*earlier, refused))
    outcome = await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert (outcome.error.verdict, outcome.error.reason) == (verdict, reason)
