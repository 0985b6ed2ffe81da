"""Reads of the ledger's rows within a deadline."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.exceptions import DeadlinePassedError
from flamingoladder.ledger.rows import decode_claim
from flamingoladder.ledger.rows import decode_shutdown
from flamingoladder.ledger.rows import shutdown_row_key
from flamingoladder.storage.exceptions import PlatformUnavailableError

if TYPE_CHECKING:
    from flamingoladder.ledger.answer_store import AnswerStore
    from flamingoladder.ledger.rows import ShutdownRow
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService
    from flamingoladder.verdict import Outcome

# A call takes up to 510 ms from another region while the store is 200 ms slower each way.
TABLE_TIMEOUT_S = 0.8
READ_RETRY_DELAY_S = 0.05


class RowReader:
    """Reads rows, with retries until a deadline while the table is unavailable."""

    __slots__ = ("_answers", "_table")

    def __init__(self, table: TableService, answers: AnswerStore) -> None:
        self._table = table
        self._answers = answers

    async def get(self, row_key: str, deadline: float) -> Row | None:
        """Return the row, or None if there is none.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline has passed already.
        """
        while True:
            try:
                return await self._table.get(row_key, table_timeout_s(deadline))
            except PlatformUnavailableError:
                if asyncio.get_running_loop().time() + READ_RETRY_DELAY_S >= deadline:
                    raise
            await asyncio.sleep(READ_RETRY_DELAY_S)

    async def ticket_outcome(
        self, row_key: str, digest: str | None, deadline: float
    ) -> Outcome | None:
        """Return the stored outcome of a ticket, or None if there is none.

        ``digest`` is that of the request that presents the ticket; None matches any request.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline has passed already.
        """
        row = await self.get(row_key, deadline)
        if row is None:
            return None
        claim = decode_claim(row.value)
        if digest is not None and claim.digest != digest:
            return refusals.key_reused()
        return await self._answers.fetch(claim.outcome) if claim.outcome else None

    async def shutdown_row(
        self, host: str, incarnation: str, deadline: float
    ) -> ShutdownRow | None:
        """Return the shutdown row of an incarnation, or None if it has none.

        :raises PlatformUnavailableError: if the table failed until the deadline.
        :raises DeadlinePassedError: if the deadline has passed already.
        """
        row = await self.get(shutdown_row_key(host, incarnation), deadline)
        return decode_shutdown(row.value) if row else None


def remaining_s(deadline: float) -> float:
    """Return the seconds remaining before ``deadline``.

    :raises DeadlinePassedError: if the deadline has passed.
    """
    remaining = deadline - asyncio.get_running_loop().time()
    if remaining <= 0:
        raise DeadlinePassedError
    return remaining


def table_timeout_s(deadline: float) -> float:
    """Return the timeout in seconds of one table call before ``deadline``.

    :raises DeadlinePassedError: if the deadline has passed.
    """
    return min(remaining_s(deadline), TABLE_TIMEOUT_S)
