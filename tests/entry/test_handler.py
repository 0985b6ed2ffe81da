"""Tests of what becomes of a request, from its arrival to its verdict."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.entry.parts import ANSWER
from tests.entry.parts import LOST
from tests.entry.parts import OTHER
from tests.entry.parts import OWN_500
from tests.entry.parts import SHED
from tests.entry.parts import SILENT
from tests.entry.parts import UNREACHED
from tests.entry.parts import FakeWire
from tests.entry.parts import Path
from tests.entry.parts import arrived
from tests.entry.parts import plan
from tests.waiting import eventually

if TYPE_CHECKING:
    from flamingoladder.entry.outcomes import SendResult
    from flamingoladder.entry.request import ArrivedRequest
    from flamingoladder.verdict import Outcome


async def handle(path: Path, request: ArrivedRequest) -> Outcome:
    return await path.handler.handle(request, asyncio.get_running_loop().time())


def told(outcome: Outcome) -> object:
    """Return the status of an answer, or the verdict of a refusal."""
    return outcome.ok.status if outcome.is_ok() else outcome.error.verdict


@pytest.mark.parametrize(
    ("results", "idempotent", "other"),
    [
        ([ANSWER], (200, 1), (200, 1)),
        ([SHED], (200, 2), (200, 2)),
        ([OTHER], (200, 2), (200, 2)),
        ([UNREACHED], (200, 2), (200, 2)),
        ([LOST], (200, 2), (Verdict.MAY_HAVE_RUN, 1)),
        ([OWN_500], (200, 2), (500, 1)),
        ([SILENT], (Verdict.MAY_HAVE_RUN, 1), (Verdict.MAY_HAVE_RUN, 1)),
        ([SHED, SHED], (Verdict.NOT_RUN, 2), (Verdict.NOT_RUN, 2)),
        ([SHED, LOST], (Verdict.MAY_HAVE_RUN, 2), (Verdict.MAY_HAVE_RUN, 2)),
        ([LOST, SHED], (Verdict.MAY_HAVE_RUN, 2), (Verdict.MAY_HAVE_RUN, 1)),
        ([OWN_500, OWN_500], (500, 2), (500, 1)),
        ([UNREACHED, UNREACHED, UNREACHED], (Verdict.NOT_RUN, 3), (Verdict.NOT_RUN, 3)),
        ([UNREACHED, LOST], (200, 3), (Verdict.MAY_HAVE_RUN, 2)),
    ],
)
async def test_only_what_may_be_repeated_is_sent_again(
    results: list[SendResult], idempotent: tuple[object, int], other: tuple[object, int]
) -> None:
    for route, expected in (("get", idempotent), ("book", other)):
        path = Path(FakeWire(*results))
        outcome = await handle(path, arrived(f"/{route}/1"))
        assert (told(outcome), len(path.wire.sent)) == expected
        assert len(set(path.wire.sent)) == len(path.wire.sent)


async def test_retries_keep_to_the_budget() -> None:
    path = Path(FakeWire(*[SHED] * 200))
    path.budgets.set_host_count(1_000)
    for number in range(50):
        await handle(path, arrived(request_id=str(number)))
    assert len(path.wire.sent) <= 50 * 1.2 + 1


@pytest.mark.parametrize(
    ("request_", "reason"),
    [
        (arrived("/nowhere/1"), Reason.UNKNOWN_ROUTE),
        (arrived(host="b.example"), Reason.UNKNOWN_ROUTE),
        (arrived(keys=()), Reason.KEY_MISSING),
        (arrived(keys=("k", "k")), Reason.KEY_MISSING),
        (arrived(keys=("stolen",)), Reason.KEY_UNKNOWN),
    ],
)
async def test_what_no_configuration_allows_is_refused(
    request_: ArrivedRequest, reason: Reason
) -> None:
    path = Path(FakeWire())
    outcome = await handle(path, request_)
    assert (outcome.error.reason, outcome.error.verdict) == (reason, Verdict.NOT_RUN)
    assert path.wire.sent == []


async def test_an_open_route_asks_for_no_key() -> None:
    outcome = await handle(Path(FakeWire()), arrived("/open/1", keys=()))
    assert outcome.is_ok()


async def test_a_workspace_is_held_to_its_rate() -> None:
    path = Path(FakeWire())
    outcomes = [await handle(path, arrived(keys=("k-small",))) for _ in range(5)]
    refused = [outcome.error for outcome in outcomes if outcome.is_error()]
    assert refused
    assert all(refusal.reason is Reason.RATE_EXCEEDED for refusal in refused)
    assert all(refusal.retry_after_s for refusal in refused)


async def test_a_workspace_stays_in_its_regions() -> None:
    path = Path(FakeWire(*[SHED] * 10))
    for _ in range(5):
        await handle(path, arrived(keys=("k-north",)))
    assert set(path.wire.sent) == {"t0"}


async def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    path = Path(FakeWire())
    current = path.beliefs.plan
    path.beliefs.set_plan(plan(), 1.0)
    assert path.beliefs.plan is current


async def test_a_request_of_a_caller_that_left_is_cancelled_if_it_is_idempotent() -> None:
    for route, cancelled in (("get", 1), ("book", 0)):
        path = Path(FakeWire())
        path.wire.work_s = 0.05
        task = asyncio.create_task(handle(path, arrived(f"/{route}/1")))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.1)
        assert path.wire.cancelled == cancelled


async def test_a_request_of_a_caller_that_left_is_sent_to_no_further_target() -> None:
    path = Path(FakeWire(SHED, SHED))
    path.wire.work_s = 0.05
    task = asyncio.create_task(handle(path, arrived("/book/1")))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.sleep(0.15)
    assert len(path.wire.sent) == 1


@pytest.mark.parametrize(("result", "admitted"), [(SHED, 4), (LOST, 2), (ANSWER, 2)])
async def test_only_what_may_have_run_counts_against_a_rate(
    result: SendResult, admitted: int
) -> None:
    path = Path(FakeWire(*[result] * 8), plan(max_targets=1))
    outcomes = [await handle(path, arrived("/book/1", keys=("k-small",))) for _ in range(4)]
    refused = [outcome.error.reason for outcome in outcomes if outcome.is_error()]
    assert 4 - refused.count(Reason.RATE_EXCEEDED) == admitted


async def test_cold_targets_get_few_requests_and_none_while_others_can_serve() -> None:
    path = Path(FakeWire())
    path.add("cold", cold_s=60.0)
    for number in range(50):
        await handle(path, arrived(f"/get/{number}"))
    assert "cold" not in path.wire.sent
    for name in ("t0", "t1", "t2"):
        path.book.remove(name, "gone")
    outcomes = [await handle(path, arrived(f"/get/{number}")) for number in range(50)]
    assert 0 < path.wire.sent.count("cold") <= 2.9 * 1.5 + 5
    assert sum(outcome.is_error() for outcome in outcomes) > 30


async def test_a_target_that_refuses_connections_is_left_alone_until_a_probe_succeeds() -> None:
    path = Path(FakeWire(UNREACHED))
    path.wire.healthy = False
    await handle(path, arrived())
    down = path.wire.sent[0]
    for _ in range(20):
        await handle(path, arrived())
    assert path.wire.sent.count(down) == 1
    path.wire.healthy = True
    await eventually(lambda: not path.book.by_id[down].down)
    path.prober.close()


async def test_lost_answers_of_targets_that_stay_up_stop_nothing() -> None:
    path = Path(FakeWire(*[LOST] * 12))
    for number in range(6):
        await handle(path, arrived(request_id=str(number)))
        await asyncio.sleep(0.02)
    for name in ("t0", "t1", "t2"):
        path.book.by_id[name].ejected_until = 0.0
    assert (await handle(path, arrived())).is_ok()


async def test_an_object_stays_with_its_home() -> None:
    path = Path(FakeWire())
    for _ in range(20):
        await handle(path, arrived())
    assert len(set(path.wire.sent)) == 1


async def test_a_request_without_time_to_connect_takes_no_target_down() -> None:
    path = Path(FakeWire(UNREACHED))
    path.wire.work_s = 0.06
    await handle(path, arrived(patience_s=0.05))
    await asyncio.sleep(0.05)
    assert not any(target.down for target in path.book.by_id.values())
    path.prober.close()


async def test_a_target_that_sheds_is_not_ejected() -> None:
    path = Path(FakeWire(*[SHED] * 12))
    for number in range(6):
        await handle(path, arrived(request_id=str(number)))
    now = asyncio.get_running_loop().time()
    assert not any(target.is_ejected(now) for target in path.book.by_id.values())
