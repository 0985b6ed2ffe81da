"""Tests of registration, leaving and the removal of dead hosts, on injected time."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.members.changes import RegisterMember
from flamingoladder.members.directory import DirectoryEntry
from flamingoladder.members.directory import read_directory
from flamingoladder.members.member import Member
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost
from flamingoladder.storage.table import Condition
from tests.freshness.fleet import SETTINGS
from tests.freshness.fleet import WAIT_S
from tests.freshness.fleet import Fleet

REMOVED_WITHIN_S = 10.0


def _set_listed_hosts(fleet: Fleet, hosts: list[str]) -> None:
    fleet.host_list.hosts = tuple(ListedHost(host, HostStatus.LIVE) for host in hosts)


def test_leaving_host_is_marked_then_deregistered() -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        replica = fleet.replicas_by_host["h3"]
        assert await replica.mark_leaving()
        assert fleet.state("h1").members_by_host["h3"].leaving
        assert fleet.serves("h3")
        assert await replica.deregister()
        assert "h3" not in fleet.state("h1").members_by_host
        assert "h3" not in await read_directory(MemoryTable(fleet.stored_table), 1.0)
        await asyncio.sleep(5.0)
        assert "h3" not in fleet.state("h1").members_by_host
        assert not fleet.serves("h3")

    run_on_injected_time(scenario())


@pytest.mark.parametrize("dead_count", [1, 3])
def test_dead_hosts_are_removed_after_the_configured_time(dead_count: int) -> None:
    async def scenario() -> None:
        fleet = Fleet(7)
        await fleet.bootstrap()
        dead_hosts = fleet.hosts[:dead_count]
        for host in dead_hosts:
            await fleet.kill(host)
        _set_listed_hosts(fleet, fleet.hosts[dead_count:])
        await asyncio.sleep(SETTINGS.dead_after_s - 2.0)
        assert len(fleet.state("h7").members) == 7
        live_hosts = set(fleet.hosts) - set(dead_hosts)
        await fleet.wait_until(
            lambda: set(fleet.state("h7").members_by_host) == live_hosts, REMOVED_WITHIN_S
        )

    run_on_injected_time(scenario())


@pytest.mark.parametrize(("alive", "listed"), [(True, False), (False, True)])
def test_host_that_answers_or_is_listed_is_not_removed(alive: bool, listed: bool) -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        if not alive:
            await fleet.kill("h3")
        if not listed:
            _set_listed_hosts(fleet, ["h1", "h2"])
        await asyncio.sleep(4 * SETTINGS.dead_after_s)
        assert "h3" in fleet.state("h1").members_by_host

    run_on_injected_time(scenario())


def test_removed_host_that_is_alive_registers_again() -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        fleet.cut_peers("h3")
        _set_listed_hosts(fleet, ["h1", "h2"])
        await fleet.wait_until(lambda: "h3" not in fleet.state("h1").members_by_host, 30.0)
        await asyncio.sleep(WAIT_S)
        assert not fleet.serves("h3")
        fleet.network.cuts.clear()
        await fleet.wait_until(lambda: fleet.serves("h3"))

    run_on_injected_time(scenario())


def test_registration_from_an_outdated_directory_is_refused() -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        dead_member = Member("h2", "north", "n1", "i0", "", "", "")
        entry = DirectoryEntry(dead_member, Condition("hosts/h2", 1_000))
        own_member = fleet.state("h1").members_by_host["h1"]
        version = fleet.state("h1").version
        await fleet.commit_refused(RegisterMember(own_member, (entry,)))
        assert fleet.state("h1").version == version
        assert fleet.state("h1").members_by_host["h2"].incarnation != "i0"

    run_on_injected_time(scenario())
