"""Tests of following a store that comes back from an older copy, in which versions go back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from flamingoladder.feed.messages import TableChanges
from flamingoladder.feed.messages import TableVersion
from flamingoladder.feed.messages import TableVersions
from flamingoladder.feed.timing import MAX_RETRY_PAUSE
from flamingoladder.feed.timing import REWRITE_GRACE_S
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.feed import StoredRow
from tests.feed.harness import PROPAGATION_S
from tests.feed.harness import TABLES
from tests.feed.harness import Fleet
from tests.feed.harness import Store

if TYPE_CHECKING:
    from flamingoladder.platform.standins.tables import TablesCopy

SIX_HOSTS = ("r1",) * 6
AWAY_S = 2.0
LOST_WRITES = 8
LIMIT_S = 30.0
# What the pages allow after the store's return: its answers count once it was calm for this long.
CALM_S = 3.0
# That of a store that never went back.
ERA = 1

Change = tuple[str, bytes | None]


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


class Lost:
    """What the lost seconds held: the history that each host's reader was told from then on."""

    def __init__(self, fleet: Fleet, table: str) -> None:
        self._seen = [host.seen_by_table[table] for host in fleet.hosts]
        self._before = [len(seen.history) for seen in self._seen]

    def told(self) -> list[list[Change]]:
        """Return what each host was told since."""
        return [
            seen.history[before:] for seen, before in zip(self._seen, self._before, strict=True)
        ]


async def restore(fleet: Fleet, copy: TablesCopy, away_s: float = AWAY_S) -> None:
    """Let the store be away, and then come back from ``copy``."""
    fleet.store.refused_hosts = set(fleet.names)
    await asyncio.sleep(away_s)
    fleet.store.tables.restore(copy)
    fleet.store.refused_hosts = set()


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize(
    ("before", "lost"), [(None, b"new"), (b"old", b"new"), (b"old", None)], ids=str
)
@pytest.mark.parametrize("away_s", [0.01, AWAY_S])
def test_what_was_lost_and_is_written_again_stays_as_it_was(
    table: str, before: bytes | None, lost: bytes | None, away_s: float
) -> None:
    """An evacuation, a target that drains, or one that left, came back as before it."""

    async def scenario() -> list[list[Change]]:
        fleet = Fleet(SIX_HOSTS)
        write(fleet.store, table, before)
        await fleet.start()
        copy = fleet.store.tables.copy()
        write(fleet.store, table, lost)
        await asyncio.sleep(PROPAGATION_S)
        told = Lost(fleet, table)
        await restore(fleet, copy, away_s)
        await asyncio.sleep(REWRITE_GRACE_S / 2)
        write(fleet.store, table, lost)
        await asyncio.sleep(LIMIT_S)
        return told.told()

    for told in run_on_injected_time(scenario()):
        assert set(told) <= {("k", lost)}


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize(
    ("before", "lost"), [(None, b"new"), (b"old", b"new"), (b"old", None)], ids=str
)
def test_what_is_not_written_again_is_as_the_store_has_it(
    table: str, before: bytes | None, lost: bytes | None
) -> None:
    async def scenario() -> tuple[list[list[Change]], list[float]]:
        fleet = Fleet(SIX_HOSTS)
        write(fleet.store, table, before)
        await fleet.start()
        copy = fleet.store.tables.copy()
        write(fleet.store, table, lost)
        await asyncio.sleep(PROPAGATION_S)
        told = Lost(fleet, table)
        await restore(fleet, copy)
        back_at = asyncio.get_running_loop().time()
        await asyncio.sleep(LIMIT_S)
        changed = [host.seen_by_table[table].changed_at - back_at for host in fleet.hosts]
        return told.told(), changed

    told, changed = run_on_injected_time(scenario())
    assert told == [[("k", before)]] * len(SIX_HOSTS)
    assert max(changed) < CALM_S


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("pause_s", [0.5, 4.0])
def test_a_store_that_goes_back_twice_is_followed(table: str, pause_s: float) -> None:
    """The second copy holds what the first did not."""

    async def scenario() -> tuple[list[list[Change]], float]:
        fleet = Fleet(SIX_HOSTS)
        write(fleet.store, table, b"old")
        await fleet.start()
        first = fleet.store.tables.copy()
        write(fleet.store, table, b"new")
        await lose(fleet.store, LOST_WRITES)
        second = fleet.store.tables.copy()
        told = Lost(fleet, table)
        await restore(fleet, first)
        await asyncio.sleep(pause_s / 2)
        write(fleet.store, table, b"new")
        await asyncio.sleep(pause_s / 2)
        await restore(fleet, second)
        await asyncio.sleep(REWRITE_GRACE_S / 2)
        write(fleet.store, table, b"new")
        fleet.store.write(table, "later", b"1")
        taken_s = await fleet.in_force_after_s(table, "later", b"1", fleet.hosts, LIMIT_S)
        await asyncio.sleep(LIMIT_S)
        return told.told(), taken_s

    histories, taken_s = run_on_injected_time(scenario())
    assert taken_s < PROPAGATION_S
    for told in histories:
        assert ("k", b"old") not in told
        assert ("k", None) not in told


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("eras", [1, 2])
def test_a_host_that_was_cut_off_meanwhile_has_all_changes_in_time(table: str, eras: int) -> None:
    """While it was away, versions passed the one that it had."""

    async def scenario() -> tuple[float, dict[str, bytes], dict[str, bytes]]:
        fleet = Fleet(SIX_HOSTS)
        write(fleet.store, table, b"old")
        fleet.store.write(table, "gone", b"1")
        await fleet.start()
        away = fleet.others()[0]
        name = away.member.host
        for _ in range(eras):
            copy = fleet.store.tables.copy()
            await lose(fleet.store, LOST_WRITES)
            fleet.store.silent_hosts = {name}
            fleet.network.cuts.update((name, other) for other in fleet.names)
            fleet.network.cuts.update((other, name) for other in fleet.names)
            fleet.store.tables.restore(copy)
            await asyncio.sleep(AWAY_S)
        write(fleet.store, table, b"new")
        fleet.store.delete(table, "gone")
        for number in range(2 * LOST_WRITES):
            fleet.store.write(table, "other", b"%d" % number)
        await asyncio.sleep(LIMIT_S)
        fleet.network.cuts.clear()
        fleet.store.silent_hosts = set()
        fleet.store.write(table, "k2", b"2")
        taken_s = await fleet.in_force_after_s(table, "k2", b"2", [away], LIMIT_S)
        await asyncio.sleep(CALM_S - taken_s)
        rest = fleet.hosts[0] if fleet.hosts[0] is not away else fleet.hosts[1]
        return taken_s, away.seen_by_table[table].by_key, rest.seen_by_table[table].by_key

    taken_s, found, wanted = run_on_injected_time(scenario())
    assert taken_s < PROPAGATION_S
    assert found == wanted
    assert found["k"] == b"new"
    assert "gone" not in found


@pytest.mark.parametrize("table", TABLES)
def test_changes_and_proofs_of_an_earlier_era_are_dropped(table: str) -> None:
    """Else a host would take the relay's older numbers for its own, and wait for its proofs."""

    async def scenario() -> tuple[dict[str, bytes], int]:
        fleet = Fleet(SIX_HOSTS)
        await fleet.start()
        await go_back(fleet)
        await asyncio.sleep(CALM_S)
        host = fleet.others()[0]
        name = host.member.host
        relay = fleet.relay().member.host
        links = fleet.network.links_by_host[relay]
        fleet.network.cuts.update((other, name) for other in fleet.names)
        calls_before = fleet.store.calls_by_host[name]
        for _ in range(20):
            fleet.network.cuts.discard((relay, name))
            old = (StoredRow("stale", b"1", 10**6),)
            links.send(name, TableChanges(table, 0, 10**6, old, ERA))
            links.send(name, TableVersions({table: TableVersion(10**6, 10**6, ERA)}))
            await asyncio.sleep(0.1)
            fleet.network.cuts.add((relay, name))
            await asyncio.sleep(0.4)
        return host.seen_by_table[table].by_key, fleet.store.calls_by_host[name] - calls_before

    found, calls = run_on_injected_time(scenario())
    assert "stale" not in found
    assert calls > 2


def test_hosts_learn_of_an_era_from_their_relays_and_read_each_table_once() -> None:
    async def scenario() -> int:
        fleet = Fleet(tuple(f"r{number % 3}" for number in range(78)))
        await fleet.start()
        calls_before = fleet.store.calls_by_host.total()
        fleet.store.tables.restore(fleet.store.tables.copy())
        await asyncio.sleep(CALM_S)
        return fleet.store.calls_by_host.total() - calls_before

    polls_s = CALM_S / (0.4 * PROPAGATION_S)
    calls_a_host = 2 * len(TABLES)
    assert run_on_injected_time(scenario()) < 78 * calls_a_host + 6 * polls_s * 1.2


def test_a_stale_copy_is_read_at_growing_intervals() -> None:
    """A host whose reads came from behind repeated them every 0.1 s."""

    async def scenario() -> int:
        fleet = Fleet(("r1",))
        await fleet.start()
        copy = fleet.store.tables.copy()
        await lose(fleet.store, LOST_WRITES)
        fleet.store.tables.restore(copy)
        fleet.store.tables.era = ERA
        fleet.store.tables.forget_history()
        calls_before = fleet.store.calls_by_host.total()
        await asyncio.sleep(LIMIT_S)
        return fleet.store.calls_by_host.total() - calls_before

    assert run_on_injected_time(scenario()) < 2 * LIMIT_S / (MAX_RETRY_PAUSE * PROPAGATION_S)


def write(store: Store, table: str, value: bytes | None) -> None:
    """Set or delete the row ``k``."""
    if value is None:
        store.delete(table, "k")
    else:
        store.write(table, "k", value)
