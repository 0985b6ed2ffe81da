"""Tests of targets that name a rate limit, replayed with several hosts on injected time."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.targets.rate_limit import STALE_S
from flamingoladder.targets.rate_limit import Told
from flamingoladder.verdict import Verdict
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming
from tests.entry.limited_fleet import SETTLE_S
from tests.entry.limited_fleet import TOLERATED_FACTOR
from tests.entry.limited_fleet import TOLERATED_REQUESTS
from tests.entry.limited_fleet import WINDOW_S
from tests.entry.limited_fleet import LimitedFleet

REQUESTS_PER_S = 60.0
LIMITED = "t1"


@pytest.mark.parametrize("hosts", [1, 7, 78])
@pytest.mark.parametrize("per_s", [0.0, 0.2, 2.2, 2.9])
def test_target_gets_no_more_than_the_limit_that_it_named(hosts: int, per_s: float) -> None:
    """Incident LIMIT: hosts did not read the field, and sent as much as before."""

    async def scenario() -> int:
        fleet = LimitedFleet(hosts)
        await fleet.serve(REQUESTS_PER_S, SETTLE_S)
        fleet.targets.per_s_by_target[LIMITED] = per_s
        named_at = asyncio.get_running_loop().time()
        await fleet.serve(REQUESTS_PER_S, 4 * WINDOW_S)
        return fleet.targets.most_in_window(LIMITED, named_at)

    most = run_on_injected_time(scenario())
    assert most <= per_s * WINDOW_S * TOLERATED_FACTOR + TOLERATED_REQUESTS


@pytest.mark.parametrize(("hosts", "per_s", "least"), [(1, 4.0, 48), (7, 4.0, 32), (78, 10.0, 32)])
def test_target_is_used_up_to_its_limit(hosts: int, per_s: float, least: int) -> None:
    async def scenario() -> int:
        fleet = LimitedFleet(hosts)
        fleet.targets.per_s_by_target[LIMITED] = per_s
        await fleet.serve(REQUESTS_PER_S, SETTLE_S)
        named_at = asyncio.get_running_loop().time()
        await fleet.serve(REQUESTS_PER_S, 4 * WINDOW_S)
        return fleet.targets.count(LIMITED, named_at, asyncio.get_running_loop().time())

    assert run_on_injected_time(scenario()) >= least


@pytest.mark.parametrize("hosts", [1, 7, 78])
def test_target_is_used_again_by_all_hosts_when_its_limit_ends(hosts: int) -> None:
    async def scenario() -> int:
        fleet = LimitedFleet(hosts)
        fleet.targets.per_s_by_target[LIMITED] = 2.2
        await fleet.serve(REQUESTS_PER_S, SETTLE_S + WINDOW_S)
        del fleet.targets.per_s_by_target[LIMITED]
        await fleet.serve(REQUESTS_PER_S, 2 * WINDOW_S)
        limits = [host.targets.by_id[LIMITED].rate_limit_per_s for host in fleet.hosts]
        return sum(limit is not None for limit in limits)

    assert run_on_injected_time(scenario()) == 0


def test_host_that_was_not_told_obeys_the_limit_that_another_one_reports() -> None:
    async def scenario() -> list[float | None]:
        fleet = LimitedFleet(7)
        fleet.targets.per_s_by_target[LIMITED] = 2.2
        await fleet.serve(REQUESTS_PER_S, SETTLE_S)
        return [host.targets.by_id[LIMITED].rate_limit_per_s for host in fleet.hosts]

    assert run_on_injected_time(scenario()) == [2.2] * 7


def test_target_keeps_its_limit_when_the_only_host_with_a_part_gets_no_requests() -> None:
    """All other hosts tried the target at the same moment, once none had been told for a while."""

    async def scenario() -> int:
        fleet = LimitedFleet(78)
        fleet.targets.per_s_by_target[LIMITED] = 0.2
        await fleet.serve(REQUESTS_PER_S, SETTLE_S)
        owner = max(fleet.hosts, key=lambda host: fleet.share_of(host, LIMITED))
        named_at = asyncio.get_running_loop().time()
        await fleet.serve(REQUESTS_PER_S, STALE_S - 2.0, unused=owner)
        await fleet.serve(20 * REQUESTS_PER_S, 2 * WINDOW_S, unused=owner)
        return fleet.targets.most_in_window(LIMITED, named_at)

    allowed = 0.2 * WINDOW_S * TOLERATED_FACTOR + TOLERATED_REQUESTS
    assert run_on_injected_time(scenario()) <= allowed


async def test_requests_are_refused_as_not_run_when_all_targets_are_at_their_limits() -> None:
    harness = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time
    for target in harness.targets.by_id.values():
        target.learn_rate_limit(Told(0.2, now()), directly=True)
    outcomes = [await harness.handler.handle(incoming(), now()) for _ in range(5)]
    assert [outcome.is_ok() for outcome in outcomes] == [True] * 3 + [False] * 2
    assert outcomes[-1].error.verdict is Verdict.NOT_RUN
    assert outcomes[-1].error.retry_after_s is not None


async def test_requests_that_arrive_together_stay_within_the_limit() -> None:
    harness = EntryHarness(FakeTargetClient())
    now = asyncio.get_running_loop().time
    for target in harness.targets.by_id.values():
        target.learn_rate_limit(Told(0.5, now()), directly=True)
    requests = [incoming(request_id=str(number)) for number in range(12)]
    outcomes = await asyncio.gather(*(harness.handler.handle(one, now()) for one in requests))
    assert sum(outcome.is_ok() for outcome in outcomes) == 6
    assert Counter(harness.client.sent) == {"t0": 2, "t1": 2, "t2": 2}
