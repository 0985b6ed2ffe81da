"""Tests of targets that say in their answers that they leave or want a pause, on injected time."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.targets.notices import LoadReport
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.notices import TargetNotice
from flamingoladder.verdict import Verdict
from tests.entry.harness import ANSWER
from tests.entry.harness import SHED
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming
from tests.entry.limited_fleet import RUN_S
from tests.entry.limited_fleet import SETTLE_S
from tests.entry.limited_fleet import LimitedFleet

if TYPE_CHECKING:
    from flamingoladder.entry.results import SendResult

# A third of what two targets take.
REQUESTS_PER_S = 40.0
TARGET = "t1"
TARGETS = ("t0", "t1", "t2")
DRAIN_S = 2.5
PAUSE_S = 5.0
ALLOWED_AFTER_S = 0.5
ALLOWED_IN_PAUSE = 2
WORK_AGAIN_S = 1.0
SLOTS = 3
QUEUE = 9


def saying(result: SendResult, **said: object) -> SendResult:
    """Return a result whose answer says this of the target."""
    notice = TargetNotice(**said)  # type: ignore[arg-type]
    return msgspec.structs.replace(result, notice=notice)


async def fleet_that_serves(hosts: int) -> LimitedFleet:
    fleet = LimitedFleet(hosts)
    await fleet.serve(REQUESTS_PER_S, SETTLE_S)
    return fleet


def busiest(fleet: LimitedFleet) -> str:
    """Return the target with the most arrivals, so that its share of the load is certain."""
    return max(TARGETS, key=lambda target: fleet.targets.count(target, 0.0, inf))


def refusals(fleet: LimitedFleet) -> int:
    """Return how many requests were refused."""
    return sum(outcome.is_error() for outcome in fleet.outcomes)


@pytest.mark.parametrize("hosts", [1, 7, 78])
def test_a_target_that_says_that_it_leaves_gets_no_new_work(hosts: int) -> None:
    async def scenario() -> tuple[int, int, int]:
        fleet = await fleet_that_serves(hosts)
        loop = asyncio.get_running_loop()
        target = busiest(fleet)
        fleet.targets.leaving.add(target)
        said_at = loop.time()
        await fleet.serve(REQUESTS_PER_S, DRAIN_S)
        late_from = loop.time()
        await fleet.serve(REQUESTS_PER_S, 4 * DRAIN_S)
        told = fleet.targets.count_after_told(target, DRAIN_S)
        late = fleet.targets.count(target, late_from, loop.time())
        assert fleet.targets.count(target, said_at, loop.time()) > 0
        return told, late, refusals(fleet)

    assert run_on_injected_time(scenario()) == (0, 0, 0)


@pytest.mark.parametrize("hosts", [1, 7, 78])
def test_a_target_gets_nothing_in_the_pause_that_it_named_and_work_after_it(hosts: int) -> None:
    async def scenario() -> tuple[int, int, int]:
        fleet = await fleet_that_serves(hosts)
        loop = asyncio.get_running_loop()
        target = busiest(fleet)
        until = loop.time() + PAUSE_S
        fleet.targets.pause_until_by_target[target] = until
        await fleet.serve(REQUESTS_PER_S, PAUSE_S + WORK_AGAIN_S)
        in_pause = fleet.targets.most_in_pause(target, ALLOWED_AFTER_S, until)
        again = fleet.targets.count(target, until, until + WORK_AGAIN_S)
        return in_pause, again, refusals(fleet)

    in_pause, again, refused = run_on_injected_time(scenario())
    assert in_pause <= ALLOWED_IN_PAUSE
    assert again > 0
    assert refused == 0


def test_a_target_is_not_hit_by_all_that_waited_for_the_end_of_its_pause() -> None:
    """Each host has callers whom it told to come back at the pause's end."""

    async def scenario() -> tuple[int, int]:
        fleet = await fleet_that_serves(78)
        until = asyncio.get_running_loop().time() + PAUSE_S
        for target in TARGETS:
            fleet.targets.pause_until_by_target[target] = until
        await fleet.serve(REQUESTS_PER_S, PAUSE_S - WORK_AGAIN_S)
        for target in TARGETS:
            for host in fleet.hosts:
                said = TargetNotice(pause=PauseNotice(WORK_AGAIN_S))
                now = asyncio.get_running_loop().time()
                host.notices.learn(host.targets.by_id[target], said, now, now)
        fleet.crowd(requests=1, tries=4)
        await asyncio.sleep(2 * WORK_AGAIN_S)
        served = sum(fleet.targets.count(t, until, until + WORK_AGAIN_S) for t in TARGETS)
        return max(fleet.targets.most_at_work(t, until) for t in TARGETS), served

    at_work, served = run_on_injected_time(scenario())
    assert at_work <= SLOTS + QUEUE
    assert served >= 78


def test_a_target_that_leaves_and_named_a_pause_and_a_limit_gets_nothing() -> None:
    async def scenario() -> int:
        fleet = await fleet_that_serves(7)
        loop = asyncio.get_running_loop()
        fleet.targets.leaving.add(TARGET)
        fleet.targets.per_s_by_target[TARGET] = 2.0
        fleet.targets.pause_until_by_target[TARGET] = loop.time() + 1.0
        await fleet.serve(REQUESTS_PER_S, DRAIN_S)
        since = loop.time()
        await fleet.serve(REQUESTS_PER_S, 4 * DRAIN_S)
        return fleet.targets.count(TARGET, since, loop.time())

    assert run_on_injected_time(scenario()) == 0


async def test_an_answer_without_the_field_does_not_end_a_leaving() -> None:
    harness = EntryHarness(FakeTargetClient(saying(ANSWER, leaving=True), saying(ANSWER)))
    target = harness.targets.by_id["t0"]
    harness.notices.learn(target, TargetNotice(leaving=True), 0.0, 1.0)
    harness.notices.learn(target, TargetNotice(), 2.0, 3.0)
    assert not harness.targets.is_eligible(target)


@pytest.mark.parametrize(("started_ms", "eligible"), [(None, False), (7, True)])
@pytest.mark.parametrize("removed", [False, True])
async def test_only_another_start_of_the_target_ends_its_leaving_and_its_pause(
    started_ms: int | None, *, eligible: bool, removed: bool
) -> None:
    """Its entry may be removed and come back while the store is in trouble."""
    harness = EntryHarness(FakeTargetClient())
    target = harness.targets.by_id["t0"]
    said = TargetNotice(leaving=True, pause=PauseNotice(PAUSE_S))
    harness.notices.learn(target, said, 0.0, 1.0)
    if removed:
        harness.targets.remove("t0", "lapsed")
    harness.targets.put(msgspec.structs.replace(target.record, started_ms=started_ms), 2.0)
    found = harness.targets.by_id["t0"]
    assert harness.targets.is_eligible(found) == eligible
    assert (found.notices is not None and found.notices.rests(2.0)) != eligible


@pytest.mark.parametrize("said", [{"leaving": True}, {"pause": PauseNotice(PAUSE_S)}], ids=str)
async def test_a_request_that_was_turned_away_goes_to_another_target(
    said: dict[str, object],
) -> None:
    client = FakeTargetClient(saying(SHED, **said))
    harness = EntryHarness(client)
    outcome = await harness.handler.handle(incoming(), asyncio.get_running_loop().time())
    assert outcome.is_ok()
    assert len(set(client.sent)) == 2


@pytest.mark.parametrize(
    ("said", "least_s", "most_s"),
    [
        ({"leaving": True}, 0.0, 1.0),
        ({"pause": PauseNotice(PAUSE_S)}, PAUSE_S - 0.1, PAUSE_S + 1.0),
    ],
    ids=str,
)
async def test_while_no_target_takes_work_requests_are_refused_at_once_as_not_run(
    said: dict[str, object], least_s: float, most_s: float
) -> None:
    client = FakeTargetClient()
    harness = EntryHarness(client)
    loop = asyncio.get_running_loop()
    for target in harness.targets.by_id.values():
        harness.notices.learn(target, TargetNotice(**said), loop.time(), loop.time())  # type: ignore[arg-type]
    before = loop.time()
    outcome = await harness.handler.handle(incoming("/book/1"), before)
    assert loop.time() - before < 0.1
    assert client.sent == []
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert least_s <= (outcome.error.retry_after_s or 0.0) <= most_s


def test_requests_at_work_end_as_they_are_when_their_target_leaves() -> None:
    async def scenario() -> bool:
        client = FakeTargetClient()
        client.work_s = 10 * RUN_S
        harness = EntryHarness(client)
        loop = asyncio.get_running_loop()
        request = asyncio.create_task(harness.handler.handle(incoming(), loop.time()))
        await asyncio.sleep(RUN_S)
        target = harness.targets.by_id[client.sent[0]]
        said = TargetNotice(leaving=True, pause=PauseNotice(PAUSE_S))
        harness.notices.learn(target, said, loop.time(), loop.time())
        return (await request).is_ok()

    assert run_on_injected_time(scenario())


@pytest.mark.parametrize(("percent", "at_home"), [(None, True), (100.0, True), (400.0, False)])
async def test_a_slow_machine_gets_less_work(percent: float | None, *, at_home: bool) -> None:
    """Hosts that ignored the pace queued requests at a machine that worked at half its speed."""
    harness = EntryHarness(FakeTargetClient(), regions_by_domain={"d1": "r1", "d2": "r1"})
    now = asyncio.get_running_loop().time()
    await harness.handler.handle(incoming(), now)
    home = harness.client.sent[0]
    load = LoadReport(0, 0, 3, percent)
    harness.notices.learn(harness.targets.by_id[home], TargetNotice(load), now, now)
    await harness.handler.handle(incoming(), now)
    assert (harness.client.sent[1] == home) is at_home
