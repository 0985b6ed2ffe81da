"""Tests of this host's registration and those of others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.members.member import Member
from flamingoladder.platform.memberships import TABLE
from flamingoladder.platform.memberships import MembershipReader
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.storage.feed import StoredRow
from flamingoladder.timeline.recorder import Recorder
from tests.platform.access import connected
from tests.platform.access import served
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OWN = Member("h1", "r", "r-a", "i2", "h1:80", "tcp://h1", "k2")
EARLIER = msgspec.structs.replace(OWN, incarnation="i1", peer_public_key="k1")


@pytest.fixture
def state() -> PlatformState:
    return PlatformState()


@pytest.fixture
async def reader(state: PlatformState) -> AsyncIterator[MembershipReader]:
    async with served(state) as server, connected(server.url) as transport:
        recorder = Recorder("h1", "i2")
        members = MemberRegistry("h1", recorder)
        yield MembershipReader(OWN, members, RowStore(transport), lambda: None, recorder)


def registered(state: PlatformState) -> list[str]:
    """Return the keys of the registrations."""
    return [key for table, _, key in state.tables.by_key if table == TABLE]


@pytest.mark.parametrize("kept", [(), (EARLIER,)], ids=["none", "the incarnation before"])
async def test_a_registration_that_the_store_lost_is_written_again(
    state: PlatformState, reader: MembershipReader, kept: tuple[Member, ...]
) -> None:
    """A host that had started in the lost seconds stayed unknown to all that started later."""
    rows = [StoredRow(of.host, msgspec.json.encode(of), 1) for of in kept]
    reader.went_back(rows, 0.0)
    await eventually(lambda: registered(state) == ["h1"])


async def test_a_registration_that_was_lost_before_the_first_read_is_written_again(
    state: PlatformState, reader: MembershipReader
) -> None:
    copy = state.tables.copy()
    await reader.register()
    state.tables.restore(copy)
    reader.replace([], 0.0)
    await eventually(lambda: registered(state) == ["h1"])


async def test_a_first_read_before_the_registration_writes_nothing(
    state: PlatformState, reader: MembershipReader
) -> None:
    reader.replace([], 0.0)
    await asyncio.sleep(0.2)
    assert registered(state) == []


async def test_a_registration_that_the_store_has_is_not_written_again(
    state: PlatformState, reader: MembershipReader
) -> None:
    await reader.register()
    version = state.tables.version
    reader.went_back([StoredRow("h1", msgspec.json.encode(OWN), 1)], 0.0)
    await asyncio.sleep(0.2)
    assert state.tables.version == version


async def test_a_row_registers_no_host_but_that_of_its_key(reader: MembershipReader) -> None:
    """A copy of a row under another name replaced the host's own registration."""
    other = msgspec.structs.replace(OWN, host="h2")
    copied = msgspec.structs.replace(other, incarnation="i0")
    reader.replace(
        [
            StoredRow(of, msgspec.json.encode(found), 1)
            for of, found in (("h2", other), ("h9", copied))
        ],
        0.0,
    )
    assert reader._members.members_by_host == {"h2": other}
