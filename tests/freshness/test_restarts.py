"""Tests of hosts that lose their in-memory state in a restart, on injected time."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.standins.loop import run_on_injected_time
from tests.freshness.fleet import KEY
from tests.freshness.fleet import PROOF_S
from tests.freshness.fleet import Fleet

MAX_RECOVERY_S = 10.0


@pytest.mark.parametrize("restarted_count", [4, 5, 7])
def test_hosts_that_restart_together_recover_through_the_store_alone(restarted_count: int) -> None:
    async def scenario() -> None:
        fleet = Fleet(7)
        await fleet.bootstrap()
        for host in fleet.hosts[:restarted_count]:
            await fleet.kill(host)
        if restarted_count < len(fleet.hosts):
            for host in fleet.hosts:
                fleet.cut_peers(host)
        for host in fleet.hosts[:restarted_count]:
            fleet.start(host)
        waited_s = await fleet.wait_until(lambda: all(fleet.serves(host) for host in fleet.hosts))
        assert waited_s < MAX_RECOVERY_S
        assert fleet.state("h1").version > 0

    run_on_injected_time(scenario())


def test_restarted_host_serves_no_keyed_request_before_it_is_registered() -> None:
    async def scenario() -> None:
        fleet = Fleet(5)
        await fleet.bootstrap()
        fleet.cut_store(fleet.hosts)
        await fleet.kill("h5")
        replica = fleet.start("h5")
        await asyncio.sleep(3 * PROOF_S)
        assert replica.current is not None
        assert not fleet.serves("h5")
        assert fleet.serves("h1")
        fleet.cut_store(fleet.hosts, down=False)
        await fleet.wait_until(lambda: fleet.serves("h5"))

    run_on_injected_time(scenario())


def test_confirmation_of_a_restarted_host_does_not_count() -> None:
    async def scenario() -> None:
        fleet = Fleet(5)
        await fleet.bootstrap()
        fleet.cut_store(fleet.hosts)
        for host in ("h3", "h4", "h5"):
            await fleet.kill(host)
        fleet.start("h3")
        await asyncio.sleep(2 * PROOF_S)
        assert fleet.state("h3").version == fleet.state("h1").version
        assert not fleet.serves("h1")

    run_on_injected_time(scenario())


def test_withdrawn_key_is_not_served_after_its_acknowledgement_is_lost_in_a_restart() -> None:
    """A host must not confirm the old version once it lost an acknowledged withdrawal in a restart.

    Its confirmation would renew the proof of a host that is cut off from the store.
    """

    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        fleet.cut_store(["h2", "h3"])
        fleet.cut(["h1"], ["h2"])
        withdrawing = asyncio.create_task(fleet.commit(WithdrawKey(KEY.key_id)))
        await fleet.wait_until(
            lambda: fleet.stored_table.rows_by_key["head"].revision > fleet.bootstrap_revision
        )
        fleet.cut(["h1"], ["h3"])
        await fleet.kill("h3")
        fleet.start("h3")
        report = await withdrawing
        assert report.in_force
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert not fleet.serves("h2")

    run_on_injected_time(scenario())
