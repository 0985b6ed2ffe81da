"""Tests of concurrent commits, lost answers and dead committers, on injected time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.freshness.commit_results import RefusalKind
from flamingoladder.freshness.messages import Intent
from flamingoladder.keys.changes import GrantKey
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.standins.loop import run_on_injected_time
from tests.freshness.fleet import KEY
from tests.freshness.fleet import PROOF_S
from tests.freshness.fleet import SETTINGS
from tests.freshness.fleet import WAIT_S
from tests.freshness.fleet import Fleet
from tests.freshness.fleet import renamed
from tests.waiting import eventually

if TYPE_CHECKING:
    from flamingoladder.freshness.changes import Change

OTHER_KEY = KeyGrant("k2", "camp", "d2")


async def _bootstrapped(size: int = 5) -> Fleet:
    fleet = Fleet(size)
    await fleet.bootstrap()
    await fleet.commit(GrantKey(OTHER_KEY))
    return fleet


def test_concurrent_configurations_give_one_conflict() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        version = fleet.state("h1").version
        expected = fleet.state("h1").configuration_version
        results = await asyncio.gather(
            fleet.replicas_by_host["h1"].commit(ApplyConfiguration(expected, renamed("a"))),
            fleet.replicas_by_host["h5"].commit(ApplyConfiguration(expected, renamed("b"))),
        )
        refusals = [result.error for result in results if result.is_error()]
        assert [refusal.kind for refusal in refusals] == [RefusalKind.CONFLICT]
        assert refusals[0].present_version == version + 1
        assert len({fleet.state(host).deployment.name for host in fleet.hosts}) == 1

    run_on_injected_time(scenario())


def test_read_newest_on_another_host_returns_the_committed_version() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        version = fleet.state("h1").version
        committing = asyncio.create_task(fleet.commit(GrantKey(KeyGrant("k3", "camp", "d3")), "h5"))
        await eventually(lambda: fleet.state("h5").version > version)
        assert fleet.state("h1").version == version
        newest = await fleet.replicas_by_host["h1"].read_newest()
        assert newest is not None
        assert newest.version == version + 1
        await committing

    run_on_injected_time(scenario())


def test_concurrent_grants_on_all_hosts_are_all_committed() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        version = fleet.state("h1").version
        grants = [KeyGrant(f"g{host}", "camp", f"digest-{host}") for host in fleet.hosts]
        commits = map(fleet.commit, map(GrantKey, grants), fleet.hosts)
        reports = await asyncio.gather(*commits)
        assert sorted(report.version for report in reports) == [
            version + number for number in range(1, 6)
        ]
        assert set(fleet.state("h2").grants) >= set(grants)

    run_on_injected_time(scenario())


@pytest.mark.parametrize("lost_answers", [1, 2])
@pytest.mark.parametrize("change", [WithdrawKey(KEY.key_id), ApplyConfiguration(0, renamed("b"))])
def test_lost_answer_is_resolved_by_reading_the_head(change: Change, lost_answers: int) -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        version = fleet.state("h1").version
        if isinstance(change, ApplyConfiguration):
            change.expected_version = fleet.state("h1").configuration_version
        fleet.faults_by_host["h1"].lost_answers = lost_answers
        report = await fleet.commit(change)
        assert report.in_force
        assert report.version == version + 1
        assert fleet.state("h3").version == version + 1

    run_on_injected_time(scenario())


def test_lost_answer_is_resolved_from_recent_changes_after_a_later_commit() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        version = fleet.state("h1").version
        fleet.faults_by_host["h1"].lost_answers = 1
        expected = fleet.state("h1").configuration_version
        committing = asyncio.create_task(fleet.commit(ApplyConfiguration(expected, renamed("a"))))
        await fleet.wait_until(lambda: fleet.state("h2").version == version + 1)
        await fleet.commit(ApplyConfiguration(version + 1, renamed("b")), "h2")
        assert (await committing).committed
        assert fleet.state("h1").deployment.name == "b"

    run_on_injected_time(scenario())


def test_withdrawal_of_unknown_outcome_suspends_only_its_key() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.faults_by_host["h1"].lost_answers = 1
        committing = asyncio.create_task(fleet.commit_refused(WithdrawKey(KEY.key_id)))
        await fleet.wait_until(lambda: fleet.faults_by_host["h1"].lost_answers == 0)
        fleet.cut_store(fleet.hosts)
        refusal = await committing
        assert refusal.kind is RefusalKind.OUTCOME_UNKNOWN
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert not any(fleet.serves(host, KEY.key_id) for host in fleet.hosts)
            assert all(fleet.serves(host, OTHER_KEY.key_id) for host in fleet.hosts)
        fleet.cut_store(fleet.hosts, down=False)
        await fleet.wait_until(
            lambda: all(fleet.state(host).grants[0].withdrawn for host in fleet.hosts)
        )

    run_on_injected_time(scenario())


def test_configuration_of_unknown_outcome_interrupts_no_traffic() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.faults_by_host["h1"].lost_answers = 1
        change = ApplyConfiguration(fleet.state("h1").configuration_version, renamed("b"))
        committing = asyncio.create_task(fleet.commit_refused(change))
        await fleet.wait_until(lambda: fleet.faults_by_host["h1"].lost_answers == 0)
        fleet.cut_store(fleet.hosts)
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert all(fleet.serves(host) for host in fleet.hosts)
        assert (await committing).kind is RefusalKind.OUTCOME_UNKNOWN
        fleet.cut_store(fleet.hosts, down=False)
        await fleet.wait_until(lambda: fleet.state("h3").deployment.name == "b")

    run_on_injected_time(scenario())


def test_dead_committer_suspends_only_its_key_until_the_next_commit() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        links = fleet.network.links_by_host["h1"]
        intent = Intent("c1", fleet.state("h1").version, KEY.key_id)
        for host in fleet.hosts[1:]:
            assert await links.request(host, intent, 1.0) is not None
        await fleet.kill("h1")
        fleet.cut_store(fleet.hosts)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert not any(fleet.serves(host, KEY.key_id) for host in fleet.hosts[1:])
            assert all(fleet.serves(host, OTHER_KEY.key_id) for host in fleet.hosts[1:])
        fleet.cut_store(fleet.hosts, down=False)
        await asyncio.sleep(1.0)
        await fleet.commit(GrantKey(KeyGrant("k3", "camp", "d3")), "h2")
        await fleet.wait_until(lambda: all(fleet.serves(host) for host in fleet.hosts[1:]))

    run_on_injected_time(scenario())


def test_confirmations_suspend_a_key_on_a_host_that_missed_the_intent() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        links = fleet.network.links_by_host["h1"]
        intent = Intent("c1", fleet.state("h1").version, KEY.key_id)
        for host in ("h2", "h3"):
            assert await links.request(host, intent, 1.0) is not None
        await fleet.kill("h1")
        fleet.cut_store(fleet.hosts)
        fleet.cut(["h4"], ["h5"])
        await asyncio.sleep(PROOF_S + SETTINGS.poll_s)
        assert fleet.serves("h4", OTHER_KEY.key_id)
        assert not fleet.serves("h4", KEY.key_id)

    run_on_injected_time(scenario())


def test_intent_whose_abort_was_lost_is_closed() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        fleet.cut(["h1", "h2"], ["h3", "h4", "h5"])
        refusal = await fleet.commit_refused(WithdrawKey(KEY.key_id))
        assert refusal.kind is RefusalKind.NO_MAJORITY
        fleet.network.cuts.clear()
        links = fleet.network.links_by_host["h1"]
        delayed_intent = Intent(refusal.change_id, fleet.state("h1").version, KEY.key_id)
        assert await links.request("h4", delayed_intent, 1.0) is not None
        assert not fleet.serves("h4")
        await fleet.wait_until(lambda: fleet.serves("h4"), within_s=WAIT_S)

    run_on_injected_time(scenario())


def test_commit_continues_when_its_caller_is_cancelled() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        version = fleet.state("h1").version
        committing = asyncio.create_task(fleet.first_replica.commit(WithdrawKey(KEY.key_id)))
        await asyncio.sleep(0.01)
        committing.cancel()
        await fleet.wait_until(lambda: fleet.state("h5").version > version)

    run_on_injected_time(scenario())


def test_repeated_withdrawal_succeeds_without_a_new_version() -> None:
    async def scenario() -> None:
        fleet = await _bootstrapped()
        first = await fleet.commit(WithdrawKey(KEY.key_id))
        second = await fleet.commit(WithdrawKey(KEY.key_id), "h2")
        assert second.in_force
        assert second.version == first.version

    run_on_injected_time(scenario())
