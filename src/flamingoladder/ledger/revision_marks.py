"""Tells the age of rows without comparing the clocks of two hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import MARKS_KEY
from flamingoladder.ledger.rows import RevisionMarksRow
from flamingoladder.ledger.rows import decode_marks
from flamingoladder.ledger.rows import encode
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from flamingoladder.storage.table import TableService

MARK_S = 3_600.0
ANSWERS_KEPT_HOURS = 24
KEYS_KEPT_HOURS = 31 * 24


class RetentionHorizon(msgspec.Struct, frozen=True):
    """Revisions of the table; 0 where the marks do not reach back far enough.

    Rows at or before ``answers`` are at least ``ANSWERS_KEPT_HOURS`` old, those at or before
    ``keys`` at least ``KEYS_KEPT_HOURS``.
    """

    answers: int
    keys: int


class RevisionMarks:
    """Past revisions of the table, marked in a row that all hosts share.

    A host that has seen the row unchanged for ``MARK_S`` seconds of its own monotonic clock adds
    the present revision. So two neighbouring marks are at least that far apart.
    """

    __slots__ = ("_seen_at", "_seen_revision", "_table")

    def __init__(self, table: TableService) -> None:
        self._table = table
        self._seen_revision = -1
        self._seen_at = 0.0

    async def horizon(self, now: float) -> RetentionHorizon:
        """Return how far back the rows are old enough.

        ``now`` is monotonic time in seconds from before the call. A new mark is added if it is due.

        :raises PlatformError: if the table did not answer.
        """
        rows = await self._table.read(MARKS_KEY, TABLE_TIMEOUT_S)
        row = rows.by_key.get(MARKS_KEY)
        revision = row.revision if row else 0
        marks = decode_marks(row.value).revisions if row else ()
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now + TABLE_TIMEOUT_S
        elif now - self._seen_at >= MARK_S:
            await self._add(revision, (*marks, rows.revision))
        return RetentionHorizon(_mark(marks, ANSWERS_KEPT_HOURS), _mark(marks, KEYS_KEPT_HOURS))

    async def _add(self, revision: int, marks: tuple[int, ...]) -> None:
        row = RevisionMarksRow(marks[-KEYS_KEPT_HOURS - 1 :])
        await self._table.transact(
            [Condition(MARKS_KEY, revision)], [Write(MARKS_KEY, encode(row))], TABLE_TIMEOUT_S
        )


def _mark(marks: tuple[int, ...], hours: int) -> int:
    return marks[-hours - 1] if len(marks) > hours else 0
