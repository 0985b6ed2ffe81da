"""Tests of a store that comes back from an older copy: what was in force stays in force."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.keys.changes import GrantKey
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.standins.loop import run_on_injected_time
from tests.freshness.fleet import KEY
from tests.freshness.fleet import PROOF_S
from tests.freshness.fleet import Fleet
from tests.freshness.fleet import renamed

BACK_WITHIN_S = 2.5
AWAY_S = 2.0
STEP_S = 0.02
SOUND = KeyGrant("k2", "camp", "d2")
LATE = KeyGrant("k3", "camp", "d3")
NEW = KeyGrant("k4", "camp", "d4")


async def bootstrapped(size: int = 7) -> Fleet:
    """Return a fleet whose keys are ``KEY`` and ``SOUND``."""
    fleet = Fleet(size)
    await fleet.bootstrap()
    await fleet.commit(GrantKey(SOUND))
    return fleet


async def go_back(fleet: Fleet, copy: object, away_s: float = AWAY_S) -> None:
    """Let the store be away, and come back from ``copy``."""
    fleet.cut_store(fleet.hosts)
    await asyncio.sleep(away_s)
    fleet.stored_table.restore(copy)  # type: ignore[arg-type]
    fleet.cut_store(fleet.hosts, down=False)


async def uses_of(fleet: Fleet, key_id: str, seconds: float) -> int:
    """Return how often some host would run a request with the key in this time."""
    uses = 0
    until = fleet.now + seconds
    while fleet.now < until:
        uses += sum(fleet.serves(host, key_id) for host in fleet.replicas_by_host)
        await asyncio.sleep(STEP_S)
    return uses


def serving(fleet: Fleet, key_id: str) -> bool:
    """Return whether all running hosts would run requests with the key."""
    return all(fleet.serves(host, key_id) for host in fleet.replicas_by_host)


@pytest.mark.parametrize("away_s", [0.05, AWAY_S, 10.0])
@pytest.mark.parametrize("times", [1, 2])
def test_what_was_in_force_stays_in_force(away_s: float, times: int) -> None:
    """All hosts refused everything, for good, once the head was older than theirs."""

    async def scenario() -> int:
        fleet = await bootstrapped()
        copy = fleet.stored_table.copy()
        await fleet.commit(WithdrawKey(KEY.key_id))
        last = await fleet.commit(GrantKey(LATE))
        uses = 0
        for _ in range(times):
            await go_back(fleet, copy, away_s)
            back_at = fleet.now
            uses += await uses_of(fleet, KEY.key_id, 0.5)
        await fleet.wait_until(lambda: serving(fleet, SOUND.key_id) and serving(fleet, LATE.key_id))
        assert fleet.now - back_at < BACK_WITHIN_S
        report = await fleet.commit(GrantKey(NEW), "h4")
        assert report.in_force
        assert report.version == last.version + 1
        assert fleet.now - back_at < BACK_WITHIN_S
        return uses + await uses_of(fleet, KEY.key_id, 10.0)

    assert run_on_injected_time(scenario()) == 0


@pytest.mark.parametrize("hears", ["the store", "its peers", "both"])
def test_a_host_that_slept_over_it_does_not_take_an_old_head_for_the_newest(hears: str) -> None:
    """Its own version and that of the copy are the same, and a withdrawn key stands in it."""

    async def scenario() -> tuple[int, bool]:
        fleet = await bootstrapped()
        copy = fleet.stored_table.copy()
        fleet.cut_store(["h7"])
        fleet.cut_peers("h7")
        await asyncio.sleep(2 * PROOF_S)
        await fleet.commit(WithdrawKey(KEY.key_id))
        fleet.cut_store(fleet.hosts)
        fleet.stored_table.restore(copy)
        if hears != "its peers":
            fleet.cut_store(["h7"], down=False)
        if hears != "the store":
            fleet.network.cuts.clear()
        uses = await uses_of(fleet, KEY.key_id, 2 * PROOF_S)
        fleet.network.cuts.clear()
        fleet.cut_store(fleet.hosts, down=False)
        uses += await uses_of(fleet, KEY.key_id, BACK_WITHIN_S)
        return uses, serving(fleet, SOUND.key_id)

    assert run_on_injected_time(scenario()) == (0, True)


def test_a_stale_host_that_puts_back_first_hides_nothing() -> None:
    async def scenario() -> tuple[int, bool, int]:
        fleet = await bootstrapped()
        copy = fleet.stored_table.copy()
        await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        )
        fleet.cut_store(["h7"])
        fleet.cut_peers("h7")
        last = await fleet.commit(WithdrawKey(KEY.key_id))
        fleet.cut_store(fleet.hosts)
        fleet.stored_table.restore(copy)
        fleet.cut_store(["h7"], down=False)
        uses = await uses_of(fleet, KEY.key_id, 2 * PROOF_S)
        fleet.network.cuts.clear()
        fleet.cut_store(fleet.hosts, down=False)
        uses += await uses_of(fleet, KEY.key_id, BACK_WITHIN_S)
        return uses, serving(fleet, SOUND.key_id), fleet.state("h7").version - last.version

    assert run_on_injected_time(scenario()) == (0, True, 0)


def test_a_host_that_starts_after_it_joins_once_the_state_is_put_back() -> None:
    async def scenario() -> tuple[int, bool]:
        fleet = await bootstrapped()
        copy = fleet.stored_table.copy()
        await fleet.commit(WithdrawKey(KEY.key_id))
        await fleet.kill("h7")
        fleet.stored_table.restore(copy)
        fleet.start("h7")
        uses = await uses_of(fleet, KEY.key_id, BACK_WITHIN_S)
        await fleet.wait_until(lambda: serving(fleet, SOUND.key_id))
        return uses, fleet.replicas_by_host["h7"].is_registered

    assert run_on_injected_time(scenario()) == (0, True)


def test_after_a_restart_of_all_hosts_the_copy_is_what_is_known() -> None:
    """Nobody knows what was lost; operators see it in the version and the era."""

    async def scenario() -> tuple[bool, str]:
        fleet = await bootstrapped()
        copy = fleet.stored_table.copy()
        await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        )
        for host in fleet.hosts:
            await fleet.kill(host)
        fleet.stored_table.restore(copy)
        for host in fleet.hosts:
            fleet.start(host)
        await fleet.wait_until(lambda: serving(fleet, SOUND.key_id))
        return serving(fleet, KEY.key_id), fleet.state("h1").deployment.name

    assert run_on_injected_time(scenario()) == (True, "test")


@pytest.mark.parametrize("unaware", [(), ("h7",), ("h6", "h7")], ids=str)
def test_a_withdrawal_whose_commit_was_lost_with_its_committer_keeps_the_key_refused(
    unaware: tuple[str, ...],
) -> None:
    """The next version, on top of the same one, shows nothing of a lost commit."""

    async def scenario() -> int:
        fleet = await bootstrapped()
        copy = fleet.stored_table.copy()
        fleet.cut_store([host for host in fleet.hosts if host != "h1"])
        for host in unaware:
            fleet.cut_peers(host)
        fleet.faults_by_host["h1"].lost_answers = 1
        commit = asyncio.create_task(fleet.commit(WithdrawKey(KEY.key_id)))
        await fleet.wait_until(lambda: fleet.stored_table.revision > copy.revision)
        await fleet.kill("h1")
        commit.cancel()
        await asyncio.sleep(2 * PROOF_S)
        fleet.stored_table.restore(copy)
        fleet.network.cuts.clear()
        fleet.cut_store(fleet.hosts, down=False)
        uses = await uses_of(fleet, KEY.key_id, 1.0)
        await fleet.commit(GrantKey(NEW), "h4")
        return uses + await uses_of(fleet, KEY.key_id, 5.0)

    assert run_on_injected_time(scenario()) == 0


@pytest.mark.parametrize("store_is_up", [True, False])
def test_two_contents_of_one_version_become_that_of_the_majority(store_is_up: bool) -> None:
    """h1 alone knew a commit that was lost; the others gave its number to another change."""

    async def scenario() -> tuple[int, int, str]:
        fleet = await bootstrapped()
        copy = fleet.stored_table.copy()
        others = [host for host in fleet.hosts if host != "h1"]
        fleet.cut_store(others)
        version = fleet.state("h1").configuration_version
        commit = asyncio.create_task(
            fleet.replicas_by_host["h1"].commit(ApplyConfiguration(version, renamed("lost")))
        )
        await fleet.wait_until(lambda: fleet.stored_table.revision > copy.revision)
        fleet.cut_peers("h1")
        fleet.cut_store(["h1"])
        await asyncio.sleep(2 * PROOF_S)
        commit.cancel()
        fleet.stored_table.restore(copy)
        fleet.cut_store(others, down=False)
        await asyncio.sleep(1.0)
        report = await fleet.commit(WithdrawKey(KEY.key_id), "h4")
        assert fleet.state("h1").version == report.version
        assert fleet.state("h1").deployment.name == "lost"
        fleet.cut_store(fleet.hosts, down=not store_is_up)
        fleet.network.cuts.clear()
        uses = await uses_of(fleet, KEY.key_id, 2 * PROOF_S)
        fleet.cut_store(fleet.hosts, down=False)
        await fleet.wait_until(lambda: serving(fleet, SOUND.key_id))
        return uses, fleet.state("h1").version - report.version, fleet.state("h1").deployment.name

    assert run_on_injected_time(scenario()) == (0, 0, "test")


def test_a_change_that_the_store_lost_is_not_reported_while_a_host_acts_on_the_one_below() -> None:
    """h3 has the word of h2, from before h2 heard of the change, and the store's head."""

    async def scenario() -> tuple[bool, str]:
        fleet = await bootstrapped(3)
        copy = fleet.stored_table.copy()
        version = fleet.state("h1").configuration_version
        commit = asyncio.create_task(
            fleet.replicas_by_host["h1"].commit(ApplyConfiguration(version, renamed("b")))
        )
        await fleet.wait_until(lambda: fleet.stored_table.revision > copy.revision)
        fleet.cut_peers("h1")
        fleet.cut_store(["h1"])
        fleet.stored_table.restore(copy)
        await asyncio.sleep(1.5)
        fleet.network.cuts.clear()
        fleet.cut_peers("h3")
        fleet.cut_store(["h2"])
        result = await commit
        assert fleet.serves("h3", SOUND.key_id)
        return result.ok.in_force, fleet.state("h3").deployment.name

    assert run_on_injected_time(scenario()) == (False, "test")
