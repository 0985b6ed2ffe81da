"""Tests of the client of the store, and of following its tables through trouble."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from typing import TYPE_CHECKING

import pytest

from flamingoladder.platform.exceptions import HistoryLostError
from flamingoladder.platform.exceptions import OutcomeUnknownError
from flamingoladder.platform.exceptions import PlatformUnavailableError
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import PAGE_ROWS
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.store import StoreServer
from flamingoladder.platform.watcher import TableReader
from flamingoladder.platform.watcher import TableWatcher
from flamingoladder.timeline.recorder import Recorder
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from flamingoladder.platform.rows import StoredRow

SOON_S = 5.0


@pytest.fixture
async def server() -> AsyncIterator[StoreServer]:
    found = StoreServer()
    await found.server.start()
    yield found
    await found.server.stop()


@pytest.fixture
async def store(server: StoreServer) -> AsyncIterator[RowStore]:
    transport = HttpTransport.from_config(server.server.url, None)
    yield RowStore(transport)
    await transport.close()


class Seen(TableReader):
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.by_key: dict[str, bytes] = {}
        self.regained_times = 0
        self.event = asyncio.Event()

    def replace(self, rows: Sequence[StoredRow], now: float) -> None:
        self.by_key.clear()
        self.change(rows, now)

    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        for row in rows:
            if row.value is None:
                self.by_key.pop(row.key, None)
            else:
                self.by_key[row.key] = row.value
        self.event.set()

    def regained(self, now: float) -> None:
        self.regained_times += 1

    async def wait_for(self, wanted: dict[str, bytes]) -> None:
        async with asyncio.timeout(SOON_S):
            while self.by_key != wanted:
                self.event.clear()
                await self.event.wait()


@pytest.fixture
async def seen(store: RowStore) -> AsyncIterator[Seen]:
    found = Seen()
    task = asyncio.create_task(TableWatcher(store, "t", found, Recorder("h", "i")).run())
    yield found
    task.cancel()


async def test_all_pages_of_a_table_are_read(server: StoreServer, store: RowStore) -> None:
    value = b64encode(b"v").decode()
    for number in range(PAGE_ROWS + 7):
        server.tables.apply([(("t", "", f"k{number:04}"), value)], [])
    server.tables.apply([(("other", "", "k"), value)], [])
    found = await store.read_all("t")
    assert len(found.rows) == PAGE_ROWS + 7
    assert found.version == server.tables.version


async def test_a_write_is_read_back_and_deleted(store: RowStore) -> None:
    await store.write("t", "k", b"\x00v")
    assert [(row.key, row.value) for row in (await store.read_all("t")).rows] == [("k", b"\x00v")]
    await store.delete("t", "k")
    assert (await store.read_all("t")).rows == ()


async def test_a_lost_answer_to_a_write_is_unknown(server: StoreServer, store: RowStore) -> None:
    server.faults.lost_answers = 1
    with pytest.raises(OutcomeUnknownError):
        await store.write("t", "k", b"v")
    assert len((await store.read_all("t")).rows) == 1


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_read_is_unavailable(
    server: StoreServer, store: RowStore, status: int
) -> None:
    server.faults.refused_status = status
    with pytest.raises(PlatformUnavailableError):
        await store.read_all("t")


async def test_forgotten_history_is_told(server: StoreServer, store: RowStore) -> None:
    await store.write("t", "k", b"v")
    server.tables.forget_history()
    with pytest.raises(HistoryLostError):
        await store.follow("t", 0)


async def test_changes_are_followed(store: RowStore, seen: Seen) -> None:
    await store.write("t", "a", b"1")
    await seen.wait_for({"a": b"1"})
    await store.write("t", "b", b"2")
    await store.write("other", "c", b"3")
    await store.delete("t", "a")
    await seen.wait_for({"b": b"2"})


async def test_what_changed_behind_forgotten_history_is_read_anew(
    server: StoreServer, store: RowStore, seen: Seen
) -> None:
    await store.write("t", "a", b"1")
    await seen.wait_for({"a": b"1"})
    server.faults.refused_status = 503
    server.tables.apply([(("t", "", "b"), b64encode(b"2").decode())], [("t", "", "a")])
    server.tables.forget_history()
    server.faults.refused_status = None
    await seen.wait_for({"b": b"2"})


async def test_a_table_is_followed_on_after_an_outage(
    server: StoreServer, store: RowStore, seen: Seen
) -> None:
    await store.write("t", "a", b"1")
    await seen.wait_for({"a": b"1"})
    server.faults.refused_status = 503
    server.tables.apply([(("t", "", "b"), b64encode(b"2").decode())], [])
    await eventually(lambda: server.calls["/-/rows-feed"] >= 3)
    server.faults.refused_status = None
    await seen.wait_for({"a": b"1", "b": b"2"})
    assert seen.regained_times == 1
