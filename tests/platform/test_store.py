"""Tests of the client of the store, and of following its tables through trouble."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

import msgspec
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
from flamingoladder.platform.headers import STORE_ERA
from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.platform.http_transport import HttpReply
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import PAGE_ROWS
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.standins.network import Network
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.storage.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.exceptions import StoreWentBackError
from flamingoladder.storage.feed import StorePosition
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
        await store.follow("t", StorePosition(state.tables.era, 0), 1.0)


async def test_a_poll_across_eras_is_told_also_if_its_version_was_given_out_again(
    state: PlatformState, store: RowStore
) -> None:
    copy = state.tables.copy()
    await store.write("t", "k", b"lost")
    found = await store.read_all("t")
    state.tables.restore(copy)
    await store.write("t", "k", b"new")
    assert state.tables.version == found.position.version
    with pytest.raises(StoreWentBackError):
        await store.follow("t", found.position, 1.0)


async def test_a_waiting_poll_ends_when_the_store_goes_back(
    state: PlatformState, store: RowStore
) -> None:
    copy = state.tables.copy()
    await store.write("t", "k", b"lost")
    found = await store.read_all("t")
    poll = asyncio.create_task(store.follow("t", found.position, 30.0))
    await asyncio.sleep(0.1)
    state.tables.restore(copy)
    with pytest.raises(StoreWentBackError):
        await poll


class PagesOfTwoEras(HttpTransport):
    """Answers each page in the era after that of the page before."""

    def __init__(self) -> None:
        super().__init__("http://store", None)
        self._pages = 0

    async def read(self, call: HttpCall, timeout_s: float) -> HttpReply:
        """Return a page that is not the last."""
        self._pages += 1
        body = {"ver": 7, "rows": [{"key": f"k{self._pages}", "ver": 1}], "has_more": True}
        return HttpReply(HTTPStatus.OK, msgspec.json.encode(body), {STORE_ERA: str(self._pages)})


async def test_pages_of_two_eras_make_no_table() -> None:
    with pytest.raises(PlatformUnavailableError, match="between pages"):
        await RowStore(PagesOfTwoEras()).read_all("t")


@pytest.mark.parametrize("named", ["", "-1", "x", "1.5"])
async def test_an_era_that_cannot_be_read_is_no_answer(named: str) -> None:
    class Unreadable(HttpTransport):
        async def read(self, call: HttpCall, timeout_s: float) -> HttpReply:
            return HttpReply(HTTPStatus.OK, b'{"ver":1}', {STORE_ERA: named})

    with pytest.raises(PlatformUnavailableError, match=STORE_ERA):
        await RowStore(Unreadable("http://store", None)).read_all("t")


async def test_an_answer_of_an_earlier_era_is_dropped(
    state: PlatformState, store: RowStore
) -> None:
    state.tables.restore(state.tables.copy())
    await store.read_all("t")
    state.tables.era -= 1
    with pytest.raises(PlatformUnavailableError, match="era"):
        await store.read_all("t")


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
