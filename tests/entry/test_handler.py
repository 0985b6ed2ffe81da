"""Tests of the request handler, from admission to the outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.entry.harness import ANSWER
from tests.entry.harness import CONNECTION_LOST
from tests.entry.harness import MISDIRECTED
from tests.entry.harness import NO_CONNECTION
from tests.entry.harness import SERVER_ERROR
from tests.entry.harness import SHED
from tests.entry.harness import TIMEOUT
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming
from tests.entry.harness import routing_config
from tests.waiting import eventually

if TYPE_CHECKING:
    from flamingoladder.entry.request import IncomingRequest
    from flamingoladder.entry.results import SendResult
    from flamingoladder.verdict import Outcome


async def handle(harness: EntryHarness, request: IncomingRequest) -> Outcome:
    return await harness.handler.handle(request, asyncio.get_running_loop().time())


def status_or_verdict(outcome: Outcome) -> object:
    """Return the status of an answer, or the verdict of a refusal."""
    return outcome.ok.status if outcome.is_ok() else outcome.error.verdict


@pytest.mark.parametrize(
    ("results", "idempotent", "other"),
    [
        ([ANSWER], (200, 1), (200, 1)),
        ([SHED], (200, 2), (200, 2)),
        ([MISDIRECTED], (200, 2), (200, 2)),
        ([NO_CONNECTION], (200, 2), (200, 2)),
        ([CONNECTION_LOST], (200, 2), (Verdict.MAY_HAVE_RUN, 1)),
        ([SERVER_ERROR], (200, 2), (500, 1)),
        ([TIMEOUT], (Verdict.MAY_HAVE_RUN, 1), (Verdict.MAY_HAVE_RUN, 1)),
        ([SHED, SHED], (Verdict.NOT_RUN, 2), (Verdict.NOT_RUN, 2)),
        ([SHED, CONNECTION_LOST], (Verdict.MAY_HAVE_RUN, 2), (Verdict.MAY_HAVE_RUN, 2)),
        ([CONNECTION_LOST, SHED], (Verdict.MAY_HAVE_RUN, 2), (Verdict.MAY_HAVE_RUN, 1)),
        ([SERVER_ERROR, SERVER_ERROR], (500, 2), (500, 1)),
        ([NO_CONNECTION, NO_CONNECTION, NO_CONNECTION], (Verdict.NOT_RUN, 3), (Verdict.NOT_RUN, 3)),
        ([NO_CONNECTION, CONNECTION_LOST], (200, 3), (Verdict.MAY_HAVE_RUN, 2)),
    ],
)
async def test_only_safe_retries_are_sent(
    results: list[SendResult], idempotent: tuple[object, int], other: tuple[object, int]
) -> None:
    for route, expected in (("get", idempotent), ("book", other)):
        harness = EntryHarness(FakeTargetClient(*results))
        outcome = await handle(harness, incoming(f"/{route}/1"))
        assert (status_or_verdict(outcome), len(harness.client.sent)) == expected
        assert len(set(harness.client.sent)) == len(harness.client.sent)


async def test_retries_stay_within_budget() -> None:
    harness = EntryHarness(FakeTargetClient(*[SHED] * 200))
    harness.budgets.set_host_count(1_000)
    for number in range(50):
        await handle(harness, incoming(request_id=str(number)))
    assert len(harness.client.sent) <= 50 * 1.2 + 1


@pytest.mark.parametrize(
    ("request_", "reason"),
    [
        (incoming("/nowhere/1"), Reason.UNKNOWN_ROUTE),
        (incoming(host="b.example"), Reason.UNKNOWN_ROUTE),
        (incoming(keys=()), Reason.KEY_MISSING),
        (incoming(keys=("k", "k")), Reason.KEY_MISSING),
        (incoming(keys=("stolen",)), Reason.KEY_UNKNOWN),
    ],
)
async def test_unknown_route_or_invalid_key_is_refused(
    request_: IncomingRequest, reason: Reason
) -> None:
    harness = EntryHarness(FakeTargetClient())
    outcome = await handle(harness, request_)
    assert (outcome.error.reason, outcome.error.verdict) == (reason, Verdict.NOT_RUN)
    assert harness.client.sent == []


async def test_open_route_needs_no_key() -> None:
    outcome = await handle(EntryHarness(FakeTargetClient()), incoming("/open/1", keys=()))
    assert outcome.is_ok()


async def test_requests_over_workspace_rate_are_refused() -> None:
    harness = EntryHarness(FakeTargetClient())
    outcomes = [await handle(harness, incoming(keys=("k-small",))) for _ in range(5)]
    refused = [outcome.error for outcome in outcomes if outcome.is_error()]
    assert refused
    assert all(refusal.reason is Reason.RATE_EXCEEDED for refusal in refused)
    assert all(refusal.retry_after_s for refusal in refused)


async def test_requests_stay_in_allowed_regions_of_workspace() -> None:
    harness = EntryHarness(FakeTargetClient(*[SHED] * 10))
    for _ in range(5):
        await handle(harness, incoming(keys=("k-north",)))
    assert set(harness.client.sent) == {"t0"}


async def test_configuration_that_is_not_newer_is_ignored() -> None:
    harness = EntryHarness(FakeTargetClient())
    current = harness.configuration.routing
    harness.configuration.set_routing(routing_config(), 1.0)
    assert harness.configuration.routing is current


async def test_caller_disconnect_cancels_only_idempotent_request() -> None:
    for route, cancelled in (("get", 1), ("book", 0)):
        harness = EntryHarness(FakeTargetClient())
        harness.client.work_s = 0.05
        task = asyncio.create_task(handle(harness, incoming(f"/{route}/1")))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.1)
        assert harness.client.cancelled == cancelled


async def test_request_is_not_retried_after_caller_disconnect() -> None:
    harness = EntryHarness(FakeTargetClient(SHED, SHED))
    harness.client.work_s = 0.05
    task = asyncio.create_task(handle(harness, incoming("/book/1")))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.sleep(0.15)
    assert len(harness.client.sent) == 1


@pytest.mark.parametrize(("result", "admitted"), [(SHED, 4), (CONNECTION_LOST, 2), (ANSWER, 2)])
async def test_only_requests_that_may_have_run_count_against_rate(
    result: SendResult, admitted: int
) -> None:
    harness = EntryHarness(FakeTargetClient(*[result] * 8), routing_config(max_targets=1))
    outcomes = [await handle(harness, incoming("/book/1", keys=("k-small",))) for _ in range(4)]
    refused = [outcome.error.reason for outcome in outcomes if outcome.is_error()]
    assert 4 - refused.count(Reason.RATE_EXCEEDED) == admitted


async def test_target_in_slow_start_gets_limited_requests_and_none_while_others_can_serve() -> None:
    harness = EntryHarness(FakeTargetClient())
    harness.add("cold", slow_start_s=60.0)
    for number in range(50):
        await handle(harness, incoming(f"/get/{number}"))
    assert "cold" not in harness.client.sent
    for name in ("t0", "t1", "t2"):
        harness.targets.remove(name, "gone")
    outcomes = [await handle(harness, incoming(f"/get/{number}")) for number in range(50)]
    assert 0 < harness.client.sent.count("cold") <= 2.9 * 1.5 + 5
    assert sum(outcome.is_error() for outcome in outcomes) > 30


async def test_target_that_refuses_connections_is_down_until_probe_succeeds() -> None:
    harness = EntryHarness(FakeTargetClient(NO_CONNECTION))
    harness.client.healthy = False
    await handle(harness, incoming())
    down = harness.client.sent[0]
    for _ in range(20):
        await handle(harness, incoming())
    assert harness.client.sent.count(down) == 1
    harness.client.healthy = True
    await eventually(lambda: not harness.targets.by_id[down].down)
    harness.prober.close()


async def test_lost_connections_of_targets_that_stay_up_block_no_request() -> None:
    harness = EntryHarness(FakeTargetClient(*[CONNECTION_LOST] * 12))
    for number in range(6):
        await handle(harness, incoming(request_id=str(number)))
        await asyncio.sleep(0.02)
    for name in ("t0", "t1", "t2"):
        harness.targets.by_id[name].ejected_until = 0.0
    assert (await handle(harness, incoming())).is_ok()


async def test_requests_for_one_object_go_to_its_home() -> None:
    harness = EntryHarness(FakeTargetClient())
    for _ in range(20):
        await handle(harness, incoming())
    assert len(set(harness.client.sent)) == 1


async def test_connect_failure_after_request_deadline_marks_no_target_down() -> None:
    harness = EntryHarness(FakeTargetClient(NO_CONNECTION))
    harness.client.work_s = 0.06
    await handle(harness, incoming(caller_timeout_s=0.05))
    await asyncio.sleep(0.05)
    assert not any(target.down for target in harness.targets.by_id.values())
    harness.prober.close()


async def test_target_that_sheds_is_not_ejected() -> None:
    harness = EntryHarness(FakeTargetClient(*[SHED] * 12))
    for number in range(6):
        await handle(harness, incoming(request_id=str(number)))
    now = asyncio.get_running_loop().time()
    assert not any(target.is_ejected(now) for target in harness.targets.by_id.values())


async def test_host_that_has_not_heard_which_requests_crash_targets_refuses_and_says_so() -> None:
    harness = EntryHarness(FakeTargetClient())
    harness.poison_upkeep.is_informed = False
    outcome = await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert outcome.error.reason is Reason.NO_PROOF
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert harness.client.sent == []
    refused = [of for of in harness.recorder.since(0) if of.kind == "request.refused"]
    assert [of.fields["reason"] for of in refused] == [Reason.NO_PROOF.value]
