"""Tests that known objects, and so their homes, persist when all hosts are lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from flamingoladder.entry.active_configuration import ActiveConfiguration
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.object_snapshots import ObjectSnapshotter
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.members.member import Member
from flamingoladder.platform.object_rows import TABLE
from flamingoladder.platform.object_rows import ObjectRows
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.deployment import BOUNDS
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.steering.home_assignment import HomeAssignment
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder
from tests.platform.access import connected
from tests.platform.access import served
from tests.steering.test_home_assignment import OBJECTS
from tests.steering.test_home_assignment import REGIONS
from tests.steering.test_home_assignment import assignment_of
from tests.steering.test_home_assignment import homes
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
def state() -> PlatformState:
    return PlatformState()


@pytest.fixture
async def store(state: PlatformState) -> AsyncIterator[RowStore]:
    async with served(state) as server, connected(server.url) as transport:
        yield RowStore(transport)


async def test_homes_are_unchanged_after_loss_of_all_hosts(store: RowStore) -> None:
    before = assignment_of(REGIONS, OBJECTS)
    object_rows = ObjectRows(store, Recorder("h", "i"))
    for region in set(REGIONS.values()):
        assert await object_rows.write(region, {"s": before.known.of_region(region)})
    found = await ObjectRows(store, Recorder("h", "i2")).read()
    assert found is not None
    after = HomeAssignment()
    after.set_targets(REGIONS)
    for region, by_service in found.items():
        after.add_objects(by_service["s"], region)
    assert homes(after) == homes(before)


async def test_objects_are_readable_after_store_failure(
    state: PlatformState, store: RowStore
) -> None:
    state.faults = FaultSettings(refuse=True)
    object_rows = ObjectRows(store, Recorder("h", "i"))
    assert await object_rows.read() is None
    assert not await object_rows.write("north", {"s": ["a"]})
    state.faults = FaultSettings()
    assert await object_rows.read() == {}


async def test_undecodable_row_is_ignored(store: RowStore) -> None:
    await store.write(TABLE, "north", b"\xff")
    await store.write(TABLE, "south", b'{"s":["a"]}')
    assert await ObjectRows(store, Recorder("h", "i")).read() == {"south": {"s": ["a"]}}


async def test_a_snapshot_that_the_store_lost_is_written_again(
    state: PlatformState, store: RowStore
) -> None:
    recorder = Recorder("h", "i")
    own = Member("h", "north", "north-a", "i", "h:80", "tcp://h", "k")
    members, targets = MemberRegistry("h", recorder), TargetRegistry({}, recorder)
    rates = FleetRateLimiter(BOUNDS.rate_tolerance, start_full=True)
    configuration = ActiveConfiguration(targets, rates, recorder)
    slow_start_limit = SlowStartLimit("h", 1.0, 1.0)
    balancer = LoadBalancer(targets, configuration, members, slow_start_limit, "north")
    balancer.homes_of("s").add_objects(["a"], "north")
    snapshotter = ObjectSnapshotter(own, members, balancer, ObjectRows(store, recorder))
    copy = state.tables.copy()
    task = asyncio.create_task(snapshotter.run())
    await eventually(lambda: (TABLE, "", "north") in state.tables.by_key)
    state.tables.restore(copy)
    await store.read_all(TABLE)
    await eventually(lambda: (TABLE, "", "north") in state.tables.by_key)
    task.cancel()
