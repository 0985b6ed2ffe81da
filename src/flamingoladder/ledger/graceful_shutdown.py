"""Ends an incarnation so that what it never ran can be told from what it ran."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import ShutdownRow
from flamingoladder.ledger.rows import encode
from flamingoladder.ledger.rows import shutdown_row_key
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from flamingoladder.ledger.executor import Executor
    from flamingoladder.ledger.outcome_writer import OutcomeWriter
    from flamingoladder.members.state import Member
    from flamingoladder.storage.table import TableService

CLOSE_S = 30.0
POLL_S = 0.05
ISSUED_SINCE_S = 12 * 3_600.0


class GracefulShutdown:
    """The graceful end of an incarnation."""

    __slots__ = ("_executor", "_own", "_table", "_writer")

    def __init__(
        self, executor: Executor, writer: OutcomeWriter, table: TableService, own: Member
    ) -> None:
        self._executor = executor
        self._writer = writer
        self._table = table
        self._own = own

    async def close(self, now: float) -> bool:
        """Accept nothing new, wait for what runs, write all outcomes, then the closing row.

        Return whether the closing row is certainly written; without it repeats of requests that
        this incarnation may have accepted are answered ``may_have_run``. Guards
        ``idle_before_closing`` and ``outcomes_before_closing``.
        """
        self._executor.leaving = True
        deadline = now + CLOSE_S
        while not await self._drained():
            if asyncio.get_running_loop().time() >= deadline:
                return False
            await asyncio.sleep(POLL_S)
        self._executor.closing = True
        return await self._row_written(now, deadline)

    async def _drained(self) -> bool:
        if not self._executor.idle:
            return False
        return await self._writer.flush() and self._executor.idle

    async def _row_written(self, now: float, deadline: float) -> bool:
        row = ShutdownRow(issued_from_s=now - ISSUED_SINCE_S)
        write = Write(shutdown_row_key(self._own.host, self._own.incarnation), encode(row))
        while asyncio.get_running_loop().time() < deadline:
            try:
                await self._table.transact([], [write], TABLE_TIMEOUT_S)
            except PlatformError:
                await asyncio.sleep(POLL_S)
                continue
            return True
        return False
