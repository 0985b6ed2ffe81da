"""Tests of following a store that comes back from an older copy, in which versions go back."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from tests.feed.harness import PROPAGATION_S
from tests.feed.harness import TABLES
from tests.feed.harness import Fleet
from tests.feed.harness import Store

SIX_HOSTS = ("r1",) * 6
AWAY_S = 2.0
LOST_WRITES = 8
LIMIT_S = 30.0
# What the pages allow after the store's return: its answers count once it was calm for this long.
CALM_S = 3.0


async def go_back(fleet: Fleet, lost_writes: int = LOST_WRITES, away_s: float = AWAY_S) -> None:
    """Lose some writes of other tables; the store is away for ``away_s``."""
    copy = fleet.store.tables.copy()
    await lose(fleet.store, lost_writes)
    fleet.store.refused_hosts = set(fleet.names)
    await asyncio.sleep(away_s)
    fleet.store.tables.restore(copy)
    fleet.store.refused_hosts = set()


async def lose(store: Store, writes: int) -> None:
    """Write rows that no copy has, and let all hosts take them in."""
    for number in range(writes):
        store.write(TABLES[number % len(TABLES)], "lost", b"%d" % number)
    await asyncio.sleep(PROPAGATION_S)


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("regions", [("r1",), SIX_HOSTS, ("r1", "r1", "r2", "r2", "r3")])
@pytest.mark.parametrize("away_s", [0.01, AWAY_S])
def test_a_change_after_the_store_went_back_is_in_force_in_time(
    table: str, regions: tuple[str, ...], away_s: float
) -> None:
    """Hosts refused the copy as older than what they had until the versions had caught up."""

    async def scenario() -> float:
        fleet = Fleet(regions)
        await fleet.start()
        await go_back(fleet, away_s=away_s)
        fleet.store.write(table, "k", b"1")
        return await fleet.in_force_after_s(table, "k", b"1", fleet.hosts, LIMIT_S)

    assert run_on_injected_time(scenario()) < CALM_S + PROPAGATION_S


@pytest.mark.parametrize("table", TABLES)
def test_versions_given_out_again_hide_no_change(table: str) -> None:
    """A host that was cut off while the counter caught up asked for later changes only."""

    async def scenario() -> float:
        fleet = Fleet(SIX_HOSTS)
        await fleet.start()
        copy = fleet.store.tables.copy()
        await lose(fleet.store, LOST_WRITES)
        fleet.store.silent_hosts = set(fleet.names)
        await asyncio.sleep(AWAY_S)
        fleet.store.tables.restore(copy)
        fleet.store.write(table, "k", b"1")
        for number in range(LOST_WRITES):
            fleet.store.write(table, "other", b"%d" % number)
        fleet.store.silent_hosts = set()
        return await fleet.in_force_after_s(table, "k", b"1", fleet.hosts, LIMIT_S)

    assert run_on_injected_time(scenario()) < CALM_S + PROPAGATION_S
