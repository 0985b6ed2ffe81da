"""Tests of the state replica, on injected time."""

from __future__ import annotations

from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.standins.loop import run_on_injected_time
from tests.freshness.fleet import KEY
from tests.freshness.fleet import Fleet
from tests.freshness.fleet import renamed

MAX_IN_FORCE_S = 4.0


def test_first_start_registers_all_hosts_and_gives_proof() -> None:
    async def scenario() -> None:
        fleet = Fleet(7)
        await fleet.bootstrap()
        assert all(fleet.serves(host) for host in fleet.hosts)
        assert [member.host for member in fleet.state("h3").members] == fleet.hosts

    run_on_injected_time(scenario())


def test_change_is_in_force_everywhere_in_time() -> None:
    async def scenario() -> None:
        fleet = Fleet(7)
        await fleet.bootstrap()
        names: list[str] = []
        fleet.replicas_by_host["h7"].changes.subscribe(
            lambda state: names.append(state.deployment.name)
        )
        report = await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, renamed("second"))
        )
        assert report.in_force
        assert report.seconds < MAX_IN_FORCE_S
        assert report.in_force_on == tuple(fleet.hosts)
        assert {fleet.state(host).version for host in fleet.hosts} == {report.version}
        assert names == ["test", "second"]

    run_on_injected_time(scenario())


def test_withdrawn_key_is_refused_everywhere() -> None:
    async def scenario() -> None:
        fleet = Fleet(7)
        await fleet.bootstrap()
        report = await fleet.commit(WithdrawKey(KEY.key_id))
        assert report.in_force
        assert not any(fleet.serves(host) for host in fleet.hosts)

    run_on_injected_time(scenario())
