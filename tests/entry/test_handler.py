"""Tests of what becomes of a request, from its arrival to its verdict."""

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
from tests.entry.harness import plan
from tests.waiting import eventually

if TYPE_CHECKING:
    from flamingoladder.entry.request import IncomingRequest
    from flamingoladder.entry.results import SendResult
    from flamingoladder.verdict import Outcome


async def handle(path: EntryHarness, request: IncomingRequest) -> Outcome:
    return await path.handler.handle(request, asyncio.get_running_loop().time())


def told(outcome: Outcome) -> object:
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
async def test_only_what_may_be_repeated_is_sent_again(
    results: list[SendResult], idempotent: tuple[object, int], other: tuple[object, int]
) -> None:
    for route, expected in (("get", idempotent), ("book", other)):
        path = EntryHarness(FakeTargetClient(*results))
        outcome = await handle(path, incoming(f"/{route}/1"))
        assert (told(outcome), len(path.client.sent)) == expected
        assert len(set(path.client.sent)) == len(path.client.sent)


async def test_retries_keep_to_the_budget() -> None:
    path = EntryHarness(FakeTargetClient(*[SHED] * 200))
    path.budgets.set_host_count(1_000)
    for number in range(50):
        await handle(path, incoming(request_id=str(number)))
    assert len(path.client.sent) <= 50 * 1.2 + 1


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
async def test_what_no_configuration_allows_is_refused(
    request_: IncomingRequest, reason: Reason
) -> None:
    path = EntryHarness(FakeTargetClient())
    outcome = await handle(path, request_)
    assert (outcome.error.reason, outcome.error.verdict) == (reason, Verdict.NOT_RUN)
    assert path.client.sent == []


async def test_an_open_route_asks_for_no_key() -> None:
    outcome = await handle(EntryHarness(FakeTargetClient()), incoming("/open/1", keys=()))
    assert outcome.is_ok()


async def test_a_workspace_is_held_to_its_rate() -> None:
    path = EntryHarness(FakeTargetClient())
    outcomes = [await handle(path, incoming(keys=("k-small",))) for _ in range(5)]
    refused = [outcome.error for outcome in outcomes if outcome.is_error()]
    assert refused
    assert all(refusal.reason is Reason.RATE_EXCEEDED for refusal in refused)
    assert all(refusal.retry_after_s for refusal in refused)


async def test_a_workspace_stays_in_its_regions() -> None:
    path = EntryHarness(FakeTargetClient(*[SHED] * 10))
    for _ in range(5):
        await handle(path, incoming(keys=("k-north",)))
    assert set(path.client.sent) == {"t0"}


async def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    path = EntryHarness(FakeTargetClient())
    current = path.configuration.plan
    path.configuration.set_plan(plan(), 1.0)
    assert path.configuration.plan is current


async def test_a_request_of_a_caller_that_left_is_cancelled_if_it_is_idempotent() -> None:
    for route, cancelled in (("get", 1), ("book", 0)):
        path = EntryHarness(FakeTargetClient())
        path.client.work_s = 0.05
        task = asyncio.create_task(handle(path, incoming(f"/{route}/1")))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.1)
        assert path.client.cancelled == cancelled


async def test_a_request_of_a_caller_that_left_is_sent_to_no_further_target() -> None:
    path = EntryHarness(FakeTargetClient(SHED, SHED))
    path.client.work_s = 0.05
    task = asyncio.create_task(handle(path, incoming("/book/1")))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.sleep(0.15)
    assert len(path.client.sent) == 1


@pytest.mark.parametrize(("result", "admitted"), [(SHED, 4), (CONNECTION_LOST, 2), (ANSWER, 2)])
async def test_only_what_may_have_run_counts_against_a_rate(
    result: SendResult, admitted: int
) -> None:
    path = EntryHarness(FakeTargetClient(*[result] * 8), plan(max_targets=1))
    outcomes = [await handle(path, incoming("/book/1", keys=("k-small",))) for _ in range(4)]
    refused = [outcome.error.reason for outcome in outcomes if outcome.is_error()]
    assert 4 - refused.count(Reason.RATE_EXCEEDED) == admitted


async def test_cold_targets_get_few_requests_and_none_while_others_can_serve() -> None:
    path = EntryHarness(FakeTargetClient())
    path.add("cold", cold_s=60.0)
    for number in range(50):
        await handle(path, incoming(f"/get/{number}"))
    assert "cold" not in path.client.sent
    for name in ("t0", "t1", "t2"):
        path.targets.remove(name, "gone")
    outcomes = [await handle(path, incoming(f"/get/{number}")) for number in range(50)]
    assert 0 < path.client.sent.count("cold") <= 2.9 * 1.5 + 5
    assert sum(outcome.is_error() for outcome in outcomes) > 30


async def test_a_target_that_refuses_connections_is_left_alone_until_a_probe_succeeds() -> None:
    path = EntryHarness(FakeTargetClient(NO_CONNECTION))
    path.client.healthy = False
    await handle(path, incoming())
    down = path.client.sent[0]
    for _ in range(20):
        await handle(path, incoming())
    assert path.client.sent.count(down) == 1
    path.client.healthy = True
    await eventually(lambda: not path.targets.by_id[down].down)
    path.prober.close()


async def test_lost_answers_of_targets_that_stay_up_stop_nothing() -> None:
    path = EntryHarness(FakeTargetClient(*[CONNECTION_LOST] * 12))
    for number in range(6):
        await handle(path, incoming(request_id=str(number)))
        await asyncio.sleep(0.02)
    for name in ("t0", "t1", "t2"):
        path.targets.by_id[name].ejected_until = 0.0
    assert (await handle(path, incoming())).is_ok()


async def test_an_object_stays_with_its_home() -> None:
    path = EntryHarness(FakeTargetClient())
    for _ in range(20):
        await handle(path, incoming())
    assert len(set(path.client.sent)) == 1


async def test_a_request_without_time_to_connect_takes_no_target_down() -> None:
    path = EntryHarness(FakeTargetClient(NO_CONNECTION))
    path.client.work_s = 0.06
    await handle(path, incoming(patience_s=0.05))
    await asyncio.sleep(0.05)
    assert not any(target.down for target in path.targets.by_id.values())
    path.prober.close()


async def test_a_target_that_sheds_is_not_ejected() -> None:
    path = EntryHarness(FakeTargetClient(*[SHED] * 12))
    for number in range(6):
        await handle(path, incoming(request_id=str(number)))
    now = asyncio.get_running_loop().time()
    assert not any(target.is_ejected(now) for target in path.targets.by_id.values())
