"""Tests of targets that name a rate limit, replayed with several hosts on injected time."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.standins.loop import run_on_injected_time
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
