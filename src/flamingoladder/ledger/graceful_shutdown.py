"""Graceful shutdown of a host's ledger.

Afterwards other hosts can distinguish requests that never ran from those that may have run.
"""

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
    from flamingoladder.ledger.era_recovery import EraRecovery
    from flamingoladder.ledger.executor import Executor
    from flamingoladder.ledger.outcome_writer import OutcomeWriter
    from flamingoladder.members.member import Member
    from flamingoladder.storage.table import TableService

SHUTDOWN_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
# The shutdown row covers tickets issued this long before it; outcomes of earlier ones may have been
# pruned.
COVERED_TICKETS_S = 12 * 3_600.0


class GracefulShutdown:
    """The graceful shutdown of an incarnation, completed by a shutdown row in the table."""

    __slots__ = ("_executor", "_own", "_recovery", "_table", "_writer")

    def __init__(
        self,
        executor: Executor,
        writer: OutcomeWriter,
        recovery: EraRecovery,
        table: TableService,
        own: Member,
    ) -> None:
        self._executor = executor
        self._writer = writer
        self._recovery = recovery
        self._table = table
        self._own = own

    async def close(self, now: float) -> bool:
        """Reject new requests, wait for running ones, write all outcomes, then the shutdown row.

        Return whether the write of the shutdown row is confirmed. Without that row, repeats of
        requests that this incarnation may have accepted are answered ``may_have_run``. Model guards
        ``idle_before_closing`` and ``outcomes_before_closing``.
        """
        self._executor.shutting_down = True
        deadline = now + SHUTDOWN_TIMEOUT_S
        while not await self._drained():
            if asyncio.get_running_loop().time() >= deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        self._executor.dispatch_stopped = True
        return await self._write_shutdown_row(now, deadline)

    async def _drained(self) -> bool:
        if not self._executor.idle:
            return False
        if not await self._writer.flush():
            return False
        return self._executor.idle and self._recovery.is_restored

    async def _write_shutdown_row(self, now: float, deadline: float) -> bool:
        row = ShutdownRow(issued_from_s=now - COVERED_TICKETS_S)
        write = Write(shutdown_row_key(self._own.host, self._own.incarnation), encode(row))
        while asyncio.get_running_loop().time() < deadline:
            try:
                await self._table.transact([], [write], TABLE_TIMEOUT_S)
            except PlatformError:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            return True
        return False
