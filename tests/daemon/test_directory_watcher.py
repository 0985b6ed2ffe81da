"""Tests that the links between hosts follow the directory in time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

import pytest

from flamingoladder.daemon.directory_watcher import READ_INTERVAL_S
from flamingoladder.daemon.directory_watcher import READ_TIMEOUT_S
from flamingoladder.daemon.directory_watcher import RETRY_INTERVAL_S
from flamingoladder.daemon.directory_watcher import DirectoryWatcher
from flamingoladder.members.directory import write_entry
from flamingoladder.members.member import Member
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.peers.zmq_links import ZmqLinks

NEW_HOST = Member("h1", "r1", "r1-a", "i1", "h1:80", "tcp://h1", "k1")
LIMIT_S = 30.0


class Links:
    """Tells when a host has a link."""

    def __init__(self) -> None:
        self.known = asyncio.Event()
        self.authenticator = SimpleNamespace(unknown_key_rejected=asyncio.Event())

    def update_directory(self, members: Iterable[Member]) -> None:
        """Note whether there is a host."""
        if any(True for _ in members):
            self.known.set()


@pytest.mark.parametrize(
    ("silent_s", "allowed_s"),
    [
        (0.1, READ_TIMEOUT_S + 2 * RETRY_INTERVAL_S),
        (0.4, READ_TIMEOUT_S + 2 * RETRY_INTERVAL_S),
        (1.5, READ_TIMEOUT_S + 4 * RETRY_INTERVAL_S),
        (20.0, READ_TIMEOUT_S + READ_INTERVAL_S),
    ],
)
def test_a_read_that_is_lost_is_repeated_soon(silent_s: float, allowed_s: float) -> None:
    """A host that joined in a short silence of the store got no link for 5 s."""

    async def scenario() -> tuple[float, int]:
        loop = asyncio.get_running_loop()
        stored, links = StoredTable(), Links()
        table = MemoryTable(stored)
        watcher = DirectoryWatcher(table, cast("ZmqLinks", links), Recorder("h0", "i0"))
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(1.0)
        await write_entry(MemoryTable(stored), NEW_HOST, READ_TIMEOUT_S)
        table.faults.down = True
        links.authenticator.unknown_key_rejected.set()
        await asyncio.sleep(silent_s)
        table.faults.down = False
        returned_at, reads = loop.time(), stored.reads
        await asyncio.wait_for(links.known.wait(), LIMIT_S)
        taken_s = loop.time() - returned_at
        task.cancel()
        return taken_s, stored.reads - reads

    taken_s, reads = run_on_injected_time(scenario())
    assert taken_s < allowed_s
    assert reads == 1
