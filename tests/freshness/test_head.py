"""Tests of the head, its objects and their transfer to a host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.freshness.commit_results import RefusalKind
from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.freshness.head import decode_head
from flamingoladder.freshness.messages import ObjectReply
from flamingoladder.freshness.messages import ObjectRequest
from flamingoladder.keys.changes import GrantKey
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.table import Write
from tests.freshness.fleet import KEY
from tests.freshness.fleet import Fleet
from tests.freshness.fleet import renamed

if TYPE_CHECKING:
    from flamingoladder.peers.link import Peer

LARGE_DEPLOYMENT = renamed("x" * 10_000)


def test_large_part_is_an_object_that_a_withdrawal_does_not_rewrite() -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, LARGE_DEPLOYMENT)
        )
        object_names = set(fleet.content_by_name)
        await fleet.commit(WithdrawKey(KEY.key_id))
        assert len(object_names) == 1
        assert set(fleet.content_by_name) == object_names
        assert len(fleet.stored_table.rows_by_key["head"].value) < 10_000
        assert fleet.state("h3").deployment == LARGE_DEPLOYMENT

    run_on_injected_time(scenario())


def test_object_is_fetched_from_the_peer_if_the_store_is_cut_off() -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        fleet.cut_store(["h2", "h3"])
        report = await fleet.commit(
            ApplyConfiguration(fleet.state("h1").configuration_version, LARGE_DEPLOYMENT)
        )
        assert report.in_force_on == ("h1", "h2", "h3")
        assert fleet.state("h3").deployment == LARGE_DEPLOYMENT

    run_on_injected_time(scenario())


async def _reply_with_forged_object(peer: Peer, message: ObjectRequest) -> msgspec.Struct:
    return ObjectReply(msgspec.msgpack.encode(renamed("forged")))


def test_object_with_wrong_digest_is_rejected() -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        fleet.cut_store(["h2", "h3"])
        fleet.network.links_by_host["h1"].register(ObjectRequest, _reply_with_forged_object)
        version = fleet.state("h1").version
        expected = fleet.state("h1").configuration_version
        report = await fleet.commit(ApplyConfiguration(expected, LARGE_DEPLOYMENT))
        assert report.in_force
        assert report.in_force_on == ("h1",)
        assert fleet.state("h2").version == version
        assert not fleet.serves_any("h2")

    run_on_injected_time(scenario())


@pytest.mark.parametrize("damaged_value", [b"", b"\xc1", b"\x93\x01"])
def test_damaged_head_is_reported_and_changes_nothing(damaged_value: bytes) -> None:
    with pytest.raises(StateUnreadableError):
        decode_head(damaged_value)

    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        undamaged_row = fleet.stored_table.rows_by_key["head"]
        fleet.stored_table.transact((), (Write("head", damaged_value),))
        await asyncio.sleep(5.0)
        assert all(fleet.serves(host) for host in fleet.hosts)
        refusal = await fleet.commit_refused(WithdrawKey(KEY.key_id))
        assert refusal.kind is RefusalKind.STORE_UNAVAILABLE
        assert fleet.stored_table.rows_by_key["head"].value == damaged_value
        fleet.stored_table.transact((), (Write("head", undamaged_row.value),))
        await fleet.commit(WithdrawKey(KEY.key_id))

    run_on_injected_time(scenario())


def test_many_grants_reach_every_host() -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.bootstrap()
        for number in range(40):
            grant = KeyGrant(f"id-{number}", "camp", "0" * 60 + f"{number:04}")
            await fleet.commit(GrantKey(grant), fleet.hosts[number % 3])
        assert len(fleet.state("h2").grants) == 41
        assert len(fleet.content_by_name) > 0

    run_on_injected_time(scenario())
