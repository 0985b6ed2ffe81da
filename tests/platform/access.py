"""The same table service reached in memory and over HTTP, for contract tests."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.services import StoreTable
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.platform.standins.store import platform_application
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.server import ApplicationServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from flamingoladder.storage.table import TableService

ADDRESS = "127.0.0.1"
TOKEN = "platform-token"


class TableAccess(ABC):
    """A table service whose faults can be set; ``stored`` shows what took effect."""

    stored: StoredTable | PlatformState
    table: TableService

    @abstractmethod
    def set_faults(self, down: bool = False, delay_s: float = 0.0, lost_answers: int = 0) -> None:
        """Set the faults in effect."""


class MemoryAccess(TableAccess):
    """In memory."""

    def __init__(self) -> None:
        self.stored = StoredTable()
        self.table = self._table = MemoryTable(self.stored)

    def set_faults(self, down: bool = False, delay_s: float = 0.0, lost_answers: int = 0) -> None:
        """Set the faults in effect."""
        faults = self._table.faults
        faults.down = down
        faults.delay_s = delay_s
        faults.lost_answers = lost_answers


class HttpAccess(TableAccess):
    """Over HTTP to the stand-in's server."""

    def __init__(self, state: PlatformState, transport: HttpTransport) -> None:
        self._state = state
        self.stored = state
        self.table = StoreTable(RowStore(transport))

    def set_faults(self, down: bool = False, delay_s: float = 0.0, lost_answers: int = 0) -> None:
        """Set the faults in effect."""
        self._state.faults = msgspec.structs.replace(
            self._state.faults, down=down, delay_s=delay_s, lost_answers=lost_answers
        )


@asynccontextmanager
async def served(state: PlatformState) -> AsyncIterator[ApplicationServer]:
    """Serve ``state`` on a free port."""
    server = ApplicationServer(platform_application(state, TOKEN), ADDRESS, 0)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


@asynccontextmanager
async def connected(url: str, token: str = TOKEN) -> AsyncIterator[HttpTransport]:
    """Return a transport to ``url``."""
    transport = HttpTransport.from_config(url, token)
    try:
        yield transport
    finally:
        await transport.close()


@asynccontextmanager
async def memory_access() -> AsyncIterator[TableAccess]:
    """Return access in memory."""
    yield MemoryAccess()


@asynccontextmanager
async def http_access() -> AsyncIterator[TableAccess]:
    """Return access over HTTP."""
    state = PlatformState()
    async with served(state) as server, connected(server.url) as transport:
        yield HttpAccess(state, transport)
