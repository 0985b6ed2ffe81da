"""Keeps the peer links in step with the directory of started daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.members.directory import read_directory
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.waiting import is_set_within

if TYPE_CHECKING:
    from reactivex import Observable
    from reactivex.abc import DisposableBase

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.peers.zmq_links import ZmqLinks
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

READ_INTERVAL_S = 5.0
RETRY_INTERVAL_S = 0.2
READ_TIMEOUT_S = 0.5


class DirectoryWatcher:
    """Reads the directory at intervals, and at once when it may have changed.

    That is when an unknown host asks for a link, or when an incarnation is registered that has no
    link yet. While the platform does not answer, the links stay as they are.
    """

    __slots__ = ("_links", "_outdated", "_recorder", "_table")

    def __init__(self, table: TableService, links: ZmqLinks, recorder: Recorder) -> None:
        self._table = table
        self._links = links
        self._recorder = recorder
        self._outdated = links.authenticator.unknown_key_rejected

    def follow(self, changes: Observable[AgreedState]) -> DisposableBase:
        """Look at each state for members without a link until the result is disposed of."""
        return changes.subscribe(self._compare)

    async def run(self) -> None:
        """Follow the directory until cancelled."""
        pause_s = RETRY_INTERVAL_S
        while True:
            self._outdated.clear()
            is_read = await self.read_once()
            await asyncio.sleep(pause_s)
            if not is_read:
                pause_s = min(READ_INTERVAL_S, 2 * pause_s)
                continue
            pause_s = RETRY_INTERVAL_S
            await is_set_within(self._outdated, READ_INTERVAL_S)

    async def read_once(self) -> bool:
        """Read the directory and pass it on; return whether it could be read."""
        try:
            by_host = await read_directory(self._table, READ_TIMEOUT_S)
        except PlatformError as error:
            self._recorder.record("directory.unreadable", error=error)
            return False
        self._links.update_directory(by_host.values())
        return True

    def _compare(self, state: AgreedState) -> None:
        if not self._links.has_links_to(state.members):
            self._outdated.set()
