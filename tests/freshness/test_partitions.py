"""Tests of partitions and store outages, on injected time."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.freshness.commit_results import RefusalKind
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.members.changes import RemoveMember
from flamingoladder.standins.loop import run_on_injected_time
from tests.freshness.fleet import KEY
from tests.freshness.fleet import PROOF_S
from tests.freshness.fleet import WAIT_S
from tests.freshness.fleet import Fleet
from tests.freshness.fleet import renamed

HOUR_S = 3_600.0
MINUTE_S = 60.0
ONE_WAY_DELAY_S = 0.1
ROUNDING_S = 1e-6
MAX_WITHDRAWAL_S = 4.0


async def _bootstrapped(size: int = 7) -> Fleet:
    fleet = Fleet(size)
    await fleet.bootstrap()
    return fleet


@pytest.mark.parametrize(
    ("store_reachable", "peers_reachable", "serves"),
    [(True, True, True), (True, False, True), (False, True, True), (False, False, False)],
)
def test_host_serves_unless_cut_from_store_and_peers(
    store_reachable: bool, peers_reachable: bool, serves: bool
) -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        if not store_reachable:
            fleet.cut_store(["h7"])
        if not peers_reachable:
            fleet.cut_peers("h7")
        await asyncio.sleep(PROOF_S)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert fleet.serves("h7") is serves
            assert all(fleet.serves(host) for host in fleet.hosts[:6])

    run_on_injected_time(scenario())


def test_timeline_says_which_hosts_confirmed_while_there_is_no_majority() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut_store(["h7"])
        fleet.cut_peers("h7")
        await asyncio.sleep(PROOF_S)
        event = next(event for event in fleet.events if event.kind == "proof.unconfirmed")
        assert event.host == "h7"
        assert (event.fields["confirmed"], event.fields["members"]) == ("h7", "7")

    run_on_injected_time(scenario())


@pytest.mark.parametrize("store_reachable", [True, False])
@pytest.mark.parametrize("peers_reachable", [True, False])
def test_withdrawal_is_in_force_in_time_with_one_host_cut_off(
    store_reachable: bool, peers_reachable: bool
) -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        if not store_reachable:
            fleet.cut_store(["h7"])
        if not peers_reachable:
            fleet.cut_peers("h7")
        report = await fleet.commit(WithdrawKey(KEY.key_id))
        assert report.in_force
        assert report.seconds < MAX_WITHDRAWAL_S
        assert not any(fleet.serves(host) for host in fleet.hosts)
        assert ("h7" in report.in_force_on) is peers_reachable

    run_on_injected_time(scenario())


def test_no_host_serves_the_old_configuration_once_the_new_one_is_in_force() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut_peers("h7")
        fleet.cut_store(["h7"])
        report = await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        )
        assert report.in_force
        assert not fleet.serves("h7")
        assert report.seconds >= PROOF_S - 0.5

    run_on_injected_time(scenario())


@pytest.mark.parametrize(("size", "outage_s"), [(3, HOUR_S), (7, MINUTE_S)])
def test_keyed_traffic_continues_during_a_long_store_outage(size: int, outage_s: float) -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped(size)
        fleet.cut_store(fleet.hosts)
        outage_ends_at = fleet.now + outage_s
        while fleet.now < outage_ends_at:
            await asyncio.sleep(1.0)
            assert all(fleet.serves(host) for host in fleet.hosts)
        refusal = await fleet.commit_refused(WithdrawKey(KEY.key_id))
        assert refusal.kind is RefusalKind.STORE_UNAVAILABLE
        assert all(fleet.serves(host) for host in fleet.hosts)
        fleet.cut_store(fleet.hosts, down=False)
        await fleet.commit(WithdrawKey(KEY.key_id))

    run_on_injected_time(scenario())


def test_majority_serves_in_a_store_outage_with_three_of_seven_hosts_dead() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut_store(fleet.hosts)
        for host in fleet.hosts[4:]:
            await fleet.kill(host)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert all(fleet.serves(host) for host in fleet.hosts[:4])

    run_on_injected_time(scenario())


def test_only_the_majority_serves_in_a_store_outage_with_a_partition() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut_store(fleet.hosts)
        fleet.cut(fleet.hosts[:4], fleet.hosts[4:])
        await asyncio.sleep(PROOF_S)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert all(fleet.serves(host) for host in fleet.hosts[:4])
            assert not any(fleet.serves(host) for host in fleet.hosts[4:])

    run_on_injected_time(scenario())


def test_minority_with_the_store_refuses_commits() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut(fleet.hosts[:3], fleet.hosts[3:])
        fleet.cut_store(fleet.hosts[3:])
        version = fleet.state("h1").version
        refusal = await fleet.commit_refused(WithdrawKey(KEY.key_id))
        assert refusal.kind is RefusalKind.NO_MAJORITY
        await asyncio.sleep(1.0)
        assert {fleet.state(host).version for host in fleet.hosts} == {version}
        assert all(fleet.serves(host) for host in fleet.hosts)

    run_on_injected_time(scenario())


def test_majority_without_the_store_installs_the_announced_version() -> None:
    """Only one host reaches the store; its commit needs the acknowledgements of the others."""

    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut_store(fleet.hosts[1:])
        report = await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        )
        assert report.in_force
        names = {fleet.state(host).deployment.name for host in fleet.hosts}
        assert names == {"b"}

    run_on_injected_time(scenario())


def test_division_unknown_to_the_majority_does_not_settle() -> None:
    """The committer loses its peers right after its commit; the others can't reach the store."""

    async def scenario() -> None:
        fleet = await _bootstrapped(5)
        fleet.cut_store(fleet.hosts[1:])
        change = ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        committing = asyncio.create_task(fleet.commit(change))
        await fleet.wait_until(lambda: fleet.state("h1").deployment.name == "b")
        fleet.cut_peers("h1")
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert all(fleet.serves(host) for host in fleet.hosts)
            assert fleet.state("h2").deployment.name == "test"
            assert fleet.first_replica.division_settles_at() > fleet.now
        assert not (await committing).in_force
        fleet.network.cuts.clear()
        await fleet.wait_until(lambda: fleet.first_replica.division_settles_at() <= fleet.now)
        assert all(fleet.state(host).deployment.name == "b" for host in fleet.hosts)

    run_on_injected_time(scenario())


def test_removed_host_with_a_proof_delays_the_next_report() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped(3)
        fleet.cut_peers("h3")
        removing = asyncio.create_task(fleet.commit(RemoveMember("h3")))
        await fleet.wait_until(lambda: "h3" not in fleet.state("h1").members_by_host)
        fleet.cut_store(["h3"])
        report = await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        )
        assert report.in_force
        assert not fleet.serves("h3")
        assert (await removing).in_force

    run_on_injected_time(scenario())


@pytest.mark.parametrize("store_reachable", [True, False])
def test_proof_age_counts_from_sending_the_request(store_reachable: bool) -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped(3)
        if not store_reachable:
            fleet.cut_store(fleet.hosts)
        fleet.faults_by_host["h3"].delay_s = ONE_WAY_DELAY_S
        fleet.network.delay_s = ONE_WAY_DELAY_S
        await asyncio.sleep(PROOF_S)
        for _ in range(100):
            await asyncio.sleep(0.01)
            age_s = (await fleet.replicas_by_host["h3"].status()).by_host["h3"].proof_age_s
            assert age_s is not None
            assert age_s > 2 * ONE_WAY_DELAY_S - ROUNDING_S

    run_on_injected_time(scenario())


def test_reverted_store_gives_no_proof_and_is_not_installed() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped(3)
        old_row = fleet.stored_table.rows_by_key["head"]
        version = (await fleet.commit(WithdrawKey(KEY.key_id))).version
        fleet.stored_table.rows_by_key["head"] = old_row
        fleet.cut_peers("h3")
        await asyncio.sleep(PROOF_S)
        assert fleet.state("h3").version == version
        assert not fleet.serves_any("h3")
        assert "store.reverted" in fleet.event_kinds()

    run_on_injected_time(scenario())


def test_reconnected_host_keeps_the_newest_version() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut_peers("h7")
        await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        )
        await fleet.wait_until(lambda: fleet.state("h7").deployment.name == "b")
        fleet.network.cuts.clear()
        fleet.cut_store(fleet.hosts)
        await asyncio.sleep(2 * WAIT_S)
        assert fleet.state("h7").deployment.name == "b"
        assert all(fleet.serves(host) for host in fleet.hosts)

    run_on_injected_time(scenario())
