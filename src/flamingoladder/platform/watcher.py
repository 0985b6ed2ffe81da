"""Follows a table of the platform's store through its troubles."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from flamingoladder.platform.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.platform.rows import RowStore
    from flamingoladder.platform.rows import StoredRow
    from flamingoladder.timeline.recorder import Recorder

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.6


class TableReader(ABC):
    """Takes in the rows of one table."""

    @abstractmethod
    def replace(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in all rows that there are."""

    @abstractmethod
    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in the rows that changed, in the order of their changes."""

    @abstractmethod
    def regained(self, now: float) -> None:
        """Note that the store answers again after it could not be reached."""


class TableWatcher:
    """Reads a table whole, then follows its changes; reads it anew when changes were lost."""

    __slots__ = ("_pause_s", "_reader", "_recorder", "_store", "_table", "_version")

    def __init__(
        self, store: RowStore, table: str, reader: TableReader, recorder: Recorder
    ) -> None:
        self._store = store
        self._table = table
        self._reader = reader
        self._recorder = recorder
        self._version: int | None = None
        self._pause_s = 0.0

    async def run(self) -> None:
        """Follow the table for ever."""
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                self._recorder.record("store.history_lost", table=self._table, error=error)
                self._version = None
            except PlatformError as error:
                await self._pause(error)

    async def _step(self) -> None:
        loop = asyncio.get_running_loop()
        if self._version is None:
            found = await self._store.read_all(self._table)
            self._note_answer(loop.time())
            self._reader.replace(found.rows, loop.time())
        else:
            found = await self._store.follow(self._table, self._version)
            self._note_answer(loop.time())
            self._reader.change(found.rows, loop.time())
        self._version = found.version

    def _note_answer(self, now: float) -> None:
        if self._pause_s:
            self._recorder.record("store.regained", table=self._table, version=self._version)
            self._reader.regained(now)
        self._pause_s = 0.0

    async def _pause(self, error: PlatformError) -> None:
        if not self._pause_s:
            self._recorder.record(
                "store.lost", table=self._table, version=self._version, error=error
            )
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2) or FIRST_PAUSE_S
        await asyncio.sleep(self._pause_s)
