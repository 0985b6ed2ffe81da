"""Tests of the client of the store, and of following its tables through trouble."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from random import Random
from typing import TYPE_CHECKING

import pytest

from flamingoladder.feed.contact import StoreContact
from flamingoladder.feed.exchange import FeedExchange
from flamingoladder.feed.followers import FollowerSelection
from flamingoladder.feed.proving_watcher import ProvingWatcher
from flamingoladder.feed.timing import FeedTiming
from flamingoladder.feed.watcher import FeedServices
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.relays import RegionRelays
from flamingoladder.members.member import Member
from flamingoladder.platform.rows import PAGE_ROWS
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.standins.network import Network
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.storage.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.timeline.recorder import Recorder
from tests.feed.harness import Seen
from tests.platform.access import connected
from tests.platform.access import served
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PROPAGATION_S = 2.5


@pytest.fixture
def state() -> PlatformState:
    return PlatformState()


@pytest.fixture
async def store(state: PlatformState) -> AsyncIterator[RowStore]:
    async with served(state) as server, connected(server.url) as transport:
        yield RowStore(transport)


@pytest.fixture
async def seen(store: RowStore) -> AsyncIterator[Seen]:
    found = Seen()
    links = Network(Random(1)).join("h", "i")
    own = Member("h", "r", "r-a", "i", "h:80", "tcp://h", "k")
    recorder = Recorder("h", "i")
    timing = FeedTiming.from_bound(PROPAGATION_S)
    followers = FollowerSelection(
        RegionRelays(own, MemberRegistry("h", recorder)), timing.proof_lifetime_s
    )
    services = FeedServices(
        store, FeedExchange(links, followers), followers, StoreContact(), timing, recorder
    )
    task = asyncio.create_task(ProvingWatcher("t", found, services, ()).run())
    yield found
    task.cancel()


async def wait_for(seen: Seen, wanted: dict[str, bytes]) -> None:
    await eventually(lambda: seen.by_key == wanted)


async def test_all_pages_of_a_table_are_read(state: PlatformState, store: RowStore) -> None:
    value = b64encode(b"v").decode()
    for number in range(PAGE_ROWS + 7):
        state.tables.apply([(("t", "", f"k{number:04}"), value)], [])
    state.tables.apply([(("other", "", "k"), value)], [])
    found = await store.read_all("t")
    assert len(found.rows) == PAGE_ROWS + 7
    assert found.position.version == state.tables.version


async def test_a_write_is_read_back_and_deleted(store: RowStore) -> None:
    await store.write("t", "k", b"\x00v")
    assert [(row.key, row.value) for row in (await store.read_all("t")).rows] == [("k", b"\x00v")]
    await store.delete("t", "k")
    assert (await store.read_all("t")).rows == ()


async def test_a_lost_answer_to_a_write_is_unknown(state: PlatformState, store: RowStore) -> None:
    state.faults = FaultSettings(lost_answers=1)
    with pytest.raises(OutcomeUnknownError):
        await store.write("t", "k", b"v")
    assert len((await store.read_all("t")).rows) == 1


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_read_is_unavailable(
    state: PlatformState, store: RowStore, status: int
) -> None:
    state.faults = FaultSettings(refuse=True, refuse_status=status)
    with pytest.raises(PlatformUnavailableError):
        await store.read_all("t")


async def test_forgotten_history_is_told(state: PlatformState, store: RowStore) -> None:
    await store.write("t", "k", b"v")
    state.tables.forget_history()
    with pytest.raises(HistoryLostError):
        await store.follow("t", 0, 1.0)


async def test_changes_are_followed(store: RowStore, seen: Seen) -> None:
    await store.write("t", "a", b"1")
    await wait_for(seen, {"a": b"1"})
    await store.write("t", "b", b"2")
    await store.write("other", "c", b"3")
    await store.delete("t", "a")
    await wait_for(seen, {"b": b"2"})


async def test_what_changed_behind_forgotten_history_is_read_anew(
    state: PlatformState, store: RowStore, seen: Seen
) -> None:
    await store.write("t", "a", b"1")
    await wait_for(seen, {"a": b"1"})
    state.faults = FaultSettings(refuse=True)
    state.tables.apply([(("t", "", "b"), b64encode(b"2").decode())], [("t", "", "a")])
    state.tables.forget_history()
    state.faults = FaultSettings()
    await wait_for(seen, {"b": b"2"})


async def test_a_table_is_followed_on_after_an_outage(
    state: PlatformState, store: RowStore, seen: Seen
) -> None:
    await store.write("t", "a", b"1")
    await wait_for(seen, {"a": b"1"})
    state.faults = FaultSettings(refuse=True)
    state.tables.apply([(("t", "", "b"), b64encode(b"2").decode())], [])
    await eventually(lambda: state.refused >= 2)
    state.faults = FaultSettings()
    await wait_for(seen, {"a": b"1", "b": b"2"})
    await eventually(lambda: seen.regained_times == 1)
