"""Tests that changes are in force in time, whatever happens to the store and to followers."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.feed.messages import TableChanges
from flamingoladder.feed.messages import TableVersion
from flamingoladder.feed.messages import TableVersions
from flamingoladder.platform.registry import LAPSED_TARGET_TTL_S
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.feed import StoredRow
from tests.feed.harness import PROPAGATION_S
from tests.feed.harness import QUIET
from tests.feed.harness import TABLES
from tests.feed.harness import Fleet

ONE_REGION = ("r1",) * 6
SILENCE_S = 6.0
LIMIT_S = 30.0
# That of a store that never went back.
ERA = 1
# What the pages allow after the store's return: its answers count once it was calm for this long.
CALM_S = 3.0


def fleet_of(regions: tuple[str, ...] = ONE_REGION) -> Fleet:
    return Fleet(regions)


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("regions", [("r1",), ONE_REGION, ("r1", "r1", "r2", "r2", "r3")])
def test_a_change_is_in_force_everywhere_in_time(table: str, regions: tuple[str, ...]) -> None:
    async def scenario() -> float:
        fleet = fleet_of(regions)
        await fleet.start()
        fleet.store.write(table, "k", b"1")
        taken_s = await fleet.in_force_after_s(table, "k", b"1", fleet.hosts, LIMIT_S)
        fleet.store.delete(table, "k")
        await fleet.in_force_after_s(table, "k", None, fleet.hosts, LIMIT_S)
        return taken_s

    assert run_on_injected_time(scenario()) < PROPAGATION_S / 2


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("silences", [1, 2])
def test_polls_sent_while_the_store_was_silent_do_not_delay_a_change(
    table: str, silences: int
) -> None:
    async def scenario() -> float:
        fleet = fleet_of()
        await fleet.start()
        for number in range(silences):
            fleet.store.silent_hosts = set(fleet.names)
            await asyncio.sleep(SILENCE_S)
            fleet.store.write(table, "k", b"%d" % number)
            fleet.store.silent_hosts = set()
            taken_s = await fleet.in_force_after_s(table, "k", b"%d" % number, fleet.hosts, LIMIT_S)
        return taken_s

    assert run_on_injected_time(scenario()) < CALM_S + PROPAGATION_S


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("refused", [False, True])
def test_a_store_that_is_lost_to_one_host_delays_no_other(table: str, refused: bool) -> None:
    async def scenario() -> float:
        fleet = fleet_of()
        await fleet.start()
        relay = fleet.relay()
        lost = fleet.store.refused_hosts if refused else fleet.store.silent_hosts
        lost.add(relay.member.host)
        fleet.store.write(table, "k", b"1")
        others = [host for host in fleet.hosts if host is not relay]
        return await fleet.in_force_after_s(table, "k", b"1", others, LIMIT_S)

    assert run_on_injected_time(scenario()) < PROPAGATION_S


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("lost", ["relay", "followers"])
@pytest.mark.parametrize("how", ["killed", "paused", "cut"])
def test_lost_followers_delay_no_other_host(table: str, lost: str, how: str) -> None:
    async def scenario() -> float:
        fleet = fleet_of()
        await fleet.start()
        gone = [fleet.relay()] if lost == "relay" else fleet.followers()
        for host in gone:
            if how == "cut":
                pairs = [(host.member.host, name) for name in fleet.names]
                fleet.network.cuts.update(pairs)
            else:
                host.kill()
                fleet.network.freeze(host.member.host)
        fleet.store.write(table, "k", b"1")
        others = [host for host in fleet.hosts if host not in gone]
        return await fleet.in_force_after_s(table, "k", b"1", others, LIMIT_S)

    assert run_on_injected_time(scenario()) < PROPAGATION_S


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("refused", [False, True])
@pytest.mark.parametrize("how", ["killed", "cut"])
def test_followers_lost_while_the_store_is_lost_to_the_others(
    table: str, refused: bool, how: str
) -> None:
    """Nobody is left who could prove anything, until the store takes the others' calls again."""

    async def scenario() -> float:
        fleet = fleet_of()
        await fleet.start()
        others = fleet.others()
        lost_to = fleet.store.refused_hosts if refused else fleet.store.silent_hosts
        lost_to.update(host.member.host for host in others)
        for host in fleet.followers():
            if how == "cut":
                fleet.network.cuts.update((host.member.host, name) for name in fleet.names)
            else:
                host.kill()
                fleet.network.freeze(host.member.host)
        fleet.store.write(table, "k", b"1")
        await asyncio.sleep(SILENCE_S)
        lost_to.clear()
        return await fleet.in_force_after_s(table, "k", b"1", others, LIMIT_S)

    assert run_on_injected_time(scenario()) < CALM_S + PROPAGATION_S


def test_a_late_answer_to_a_cancelled_poll_changes_nothing() -> None:
    async def scenario() -> tuple[list[tuple[str, bytes | None]], int]:
        fleet = fleet_of(("r1",))
        await fleet.start()
        (host,) = fleet.hosts
        fleet.store.silent_hosts = set(fleet.names)
        await asyncio.sleep(SILENCE_S)
        fleet.store.write("servers", "k", b"old")
        fleet.store.silent_hosts = set()
        await asyncio.sleep(SILENCE_S)
        fleet.store.write("servers", "k", b"new")
        await asyncio.sleep(LIMIT_S)
        return host.seen_by_table["servers"].history, host.seen_by_table["servers"].regained_times

    history, regained = run_on_injected_time(scenario())
    assert history == [("k", b"old"), ("k", b"new")]
    assert regained == 1


def test_nothing_older_is_taken_after_something_newer() -> None:
    async def scenario() -> dict[str, bytes]:
        fleet = fleet_of()
        await fleet.start()
        fleet.store.write("servers", "k", b"1")
        fleet.store.write("servers", "gone", b"1")
        fleet.store.write("servers", "k", b"2")
        fleet.store.delete("servers", "gone")
        host = fleet.others()[0]
        await fleet.in_force_after_s("servers", "k", b"2", [host], LIMIT_S)
        await asyncio.sleep(PROPAGATION_S)
        old = (StoredRow("k", b"1", 1), StoredRow("gone", b"1", 2))
        links = fleet.network.links_by_host["h0" if host.member.host != "h0" else "h1"]
        links.send(host.member.host, TableChanges("servers", 0, 2, old, ERA))
        await asyncio.sleep(PROPAGATION_S)
        return host.seen_by_table["servers"].by_key

    assert run_on_injected_time(scenario()) == {"k": b"2"}


def test_forgotten_history_is_read_anew() -> None:
    async def scenario() -> float:
        fleet = fleet_of()
        await fleet.start()
        fleet.store.silent_hosts = set(fleet.names)
        await asyncio.sleep(SILENCE_S)
        fleet.store.write("servers", "k", b"1")
        fleet.store.tables.forget_history()
        fleet.store.silent_hosts = set()
        return await fleet.in_force_after_s("servers", "k", b"1", fleet.hosts, LIMIT_S)

    assert run_on_injected_time(scenario()) < CALM_S + PROPAGATION_S


@pytest.mark.parametrize("era", [ERA, ERA + 1])
def test_a_version_that_the_store_never_had_costs_one_call(era: int) -> None:
    async def scenario() -> int:
        fleet = fleet_of()
        await fleet.start()
        host = fleet.others()[0]
        calls_before = fleet.store.calls_by_host[host.member.host]
        links = fleet.network.links_by_host[fleet.relay().member.host]
        claimed = TableVersions({"servers": TableVersion(10**9, 10**9, era)})
        for _ in range(20):
            links.send(host.member.host, claimed)
            await asyncio.sleep(0.5)
        return fleet.store.calls_by_host[host.member.host] - calls_before

    assert run_on_injected_time(scenario()) == 1


def test_a_new_host_reads_each_table_once_and_then_follows_its_region() -> None:
    async def scenario() -> tuple[int, float]:
        fleet = fleet_of()
        fleet.store.write("servers", "k", b"1")
        await fleet.start()
        host = fleet.others()[0]
        calls_before = fleet.store.calls_by_host[host.member.host]
        await asyncio.sleep(LIMIT_S)
        calls = fleet.store.calls_by_host[host.member.host] - calls_before
        return calls, len(fleet.followers())

    assert run_on_injected_time(scenario()) == (0, 2)


def test_calls_grow_with_regions_instead_of_hosts_and_changes() -> None:
    """A start of 78 hosts, and then 100 targets that register within 20 s."""

    async def scenario() -> tuple[int, int]:
        fleet = fleet_of(tuple(f"r{number % 3}" for number in range(78)))
        await fleet.start()
        at_start = fleet.store.calls_by_host.total()
        for number in range(100):
            fleet.store.write("servers", f"t{number}", b"1")
            await asyncio.sleep(0.2)
        return at_start, fleet.store.calls_by_host.total() - at_start

    at_start, later = run_on_injected_time(scenario())
    polls_s = 20 / (0.4 * PROPAGATION_S) + 20 / (0.16 * PROPAGATION_S)
    assert later < 6 * polls_s * 1.2
    assert at_start < 78 * 12


@pytest.mark.parametrize("table", QUIET)
def test_a_return_is_told_before_the_first_change_after_it(table: str) -> None:
    async def scenario() -> list[int]:
        fleet = fleet_of()
        await fleet.start()
        fleet.store.silent_hosts = set(fleet.names)
        await asyncio.sleep(SILENCE_S)
        fleet.store.write(table, "k", b"1")
        fleet.store.silent_hosts = set()
        await fleet.in_force_after_s(table, "k", b"1", fleet.hosts, LIMIT_S)
        return [host.seen_by_table[table].regained_times for host in fleet.hosts]

    assert run_on_injected_time(scenario()) == [1] * len(ONE_REGION)


async def _notice_s(table: str, lost_for_s: float, *, refused: bool) -> float:
    """Return the seconds until all hosts notice the return of a store that was lost to them."""
    fleet = fleet_of()
    await fleet.start()
    lost_to = fleet.store.refused_hosts if refused else fleet.store.silent_hosts
    lost_to.update(fleet.names)
    await asyncio.sleep(lost_for_s)
    lost_to.clear()
    returned_at = asyncio.get_running_loop().time()
    await asyncio.sleep(LIMIT_S)
    return max(host.seen_by_table[table].regained_at for host in fleet.hosts) - returned_at


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("lost_for_s", [2.0, 3.3, 6.0])
def test_return_of_the_store_is_noticed_soon(table: str, lost_for_s: float) -> None:
    """Targets that left before an outage were used for up to 4.3 s after the store's return."""
    took_s = run_on_injected_time(_notice_s(table, lost_for_s, refused=True))
    assert 0.0 < took_s < CALM_S - LAPSED_TARGET_TTL_S


def test_return_of_a_silent_store_is_noticed_soon() -> None:
    """A poll that is sent while the store is silent is given up after 1.5 s only."""
    took_s = run_on_injected_time(_notice_s("servers", 2.9, refused=False))
    assert 0.0 < took_s < CALM_S - LAPSED_TARGET_TTL_S


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("away_s", [0.3, 2.0, 6.0])
def test_a_host_that_starts_while_the_store_is_away_follows_it_after_its_return(
    table: str, away_s: float
) -> None:
    """The task that reads ended with an AttributeError if its first call failed."""

    async def scenario() -> float:
        fleet = fleet_of()
        fleet.store.refused_hosts = set(fleet.names)
        await fleet.start(settle_s=away_s)
        fleet.store.write(table, "k", b"1")
        fleet.store.refused_hosts = set()
        return await fleet.in_force_after_s(table, "k", b"1", fleet.hosts, LIMIT_S)

    assert run_on_injected_time(scenario()) < PROPAGATION_S / 2


@pytest.mark.parametrize(("size", "relayed"), [(1_000, 5), (100_000, 0)])
def test_changes_that_would_fill_the_relay_s_link_are_fetched(size: int, relayed: int) -> None:
    async def scenario() -> tuple[int, float]:
        fleet = fleet_of()
        await fleet.start()
        sent: list[TableChanges] = []
        fleet.network.tap = lambda _from, _to, content: (
            sent.append(content) if isinstance(content, TableChanges) else None
        )
        fleet.store.write("op", "k", b"x" * size)
        taken_s = await fleet.in_force_after_s("op", "k", b"x" * size, fleet.hosts, LIMIT_S)
        return len(sent), taken_s

    count, taken_s = run_on_injected_time(scenario())
    assert count == relayed
    assert taken_s < PROPAGATION_S / 2


def test_only_the_newest_of_many_changes_of_a_row_is_taken_in() -> None:
    """A relay that the store turned away gets six configurations at once and sends one on."""

    async def scenario() -> list[list[tuple[str, bytes | None]]]:
        fleet = fleet_of()
        await fleet.start()
        fleet.store.silent_hosts = set(fleet.names)
        await asyncio.sleep(SILENCE_S)
        for number in range(6):
            fleet.store.write("op", "config", b"%d" % number)
        fleet.store.silent_hosts = set()
        await fleet.in_force_after_s("op", "config", b"5", fleet.hosts, LIMIT_S)
        return [host.seen_by_table["op"].history for host in fleet.hosts]

    assert run_on_injected_time(scenario()) == [[("config", b"5")]] * len(ONE_REGION)
