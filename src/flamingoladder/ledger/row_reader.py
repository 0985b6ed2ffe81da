"""Reads rows of the ledger inside a deadline."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.rows import decode_claim
from flamingoladder.ledger.rows import decode_closing
from flamingoladder.ledger.rows import shutdown_row_key
from flamingoladder.storage.exceptions import PlatformUnavailableError

if TYPE_CHECKING:
    from flamingoladder.ledger.answer_store import AnswerStore
    from flamingoladder.ledger.rows import ShutdownRow
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService
    from flamingoladder.verdict import Outcome

TABLE_TIMEOUT_S = 0.8
READ_PAUSE_S = 0.05


class RowReader:
    """Reads rows, again and again while the table fails, until a deadline."""

    __slots__ = ("_answers", "_table")

    def __init__(self, table: TableService, answers: AnswerStore) -> None:
        self._table = table
        self._answers = answers

    async def get(self, name: str, deadline: float) -> Row | None:
        """Return the row, or None if there is none.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline has passed already.
        """
        while True:
            try:
                return await self._table.get(name, timeout_until(deadline))
            except PlatformUnavailableError:
                if asyncio.get_running_loop().time() + READ_PAUSE_S >= deadline:
                    raise
            await asyncio.sleep(READ_PAUSE_S)

    async def ticket_outcome(
        self, name: str, digest: str | None, deadline: float
    ) -> Outcome | None:
        """Return the outcome written for a ticket, or None if there is none.

        ``digest`` is that of the request that presents the ticket; None fits any.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline has passed already.
        """
        row = await self.get(name, deadline)
        if row is None:
            return None
        written = decode_claim(row.value)
        if digest is not None and written.digest != digest:
            return refusals.key_reused()
        return await self._answers.fetched(written.outcome) if written.outcome else None

    async def closing(self, host: str, incarnation: str, deadline: float) -> ShutdownRow | None:
        """Return the closing row of an incarnation, or None if it has none.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline has passed already.
        """
        row = await self.get(shutdown_row_key(host, incarnation), deadline)
        return decode_closing(row.value) if row else None


def left_until(deadline: float) -> float:
    """Return the time in seconds that is left before ``deadline``.

    :raises DeadlinePassedError: if the deadline has passed.
    """
    left_s = deadline - asyncio.get_running_loop().time()
    if left_s <= 0:
        raise DeadlinePassedError
    return left_s


def timeout_until(deadline: float) -> float:
    """Return the time in seconds for one call of the table before ``deadline``.

    :raises DeadlinePassedError: if the deadline has passed.
    """
    return min(left_until(deadline), TABLE_TIMEOUT_S)
