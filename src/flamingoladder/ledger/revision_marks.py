"""Ages of rows by marked table revisions, so that no two hosts' clocks are compared."""

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

MARK_INTERVAL_S = 3_600.0
ANSWER_RETENTION_HOURS = 24
# Keys outlive answers: a repeat sent a day later must not run the request again.
KEY_RETENTION_HOURS = 31 * 24


class RetentionHorizon(msgspec.Struct, frozen=True):
    """Revisions up to which rows are prunable; 0 where the marks do not reach back far enough.

    Rows at or before ``answer_revision`` are at least ``ANSWER_RETENTION_HOURS`` old, those at or
    before ``key_revision`` at least ``KEY_RETENTION_HOURS``.
    """

    answer_revision: int
    key_revision: int


class RevisionMarks:
    """Past revisions of the table, marked in a row that all hosts share.

    A host that has found the row unchanged for ``MARK_INTERVAL_S`` seconds of its own monotonic
    clock adds the table's present revision. So consecutive marks are at least that far apart.
    """

    __slots__ = ("_last_row_revision", "_table", "_unchanged_since")

    def __init__(self, table: TableService) -> None:
        self._table = table
        self._last_row_revision = -1
        self._unchanged_since = 0.0

    async def horizon(self, now: float) -> RetentionHorizon:
        """Return the revisions up to which rows may be pruned.

        ``now`` is monotonic time in seconds from before the call. A new mark is added if it is due.

        :raises PlatformError: if the table did not answer.
        """
        rows = await self._table.read(MARKS_KEY, TABLE_TIMEOUT_S)
        row = rows.by_key.get(MARKS_KEY)
        row_revision = row.revision if row else 0
        marks = decode_marks(row.value).revisions if row else ()
        if row_revision != self._last_row_revision:
            self._last_row_revision = row_revision
            # The row may have been read up to TABLE_TIMEOUT_S after ``now``.
            self._unchanged_since = now + TABLE_TIMEOUT_S
        elif now - self._unchanged_since >= MARK_INTERVAL_S:
            await self._add_mark(row_revision, (*marks, rows.revision))
        return RetentionHorizon(
            _revision_before(marks, ANSWER_RETENTION_HOURS),
            _revision_before(marks, KEY_RETENTION_HOURS),
        )

    async def _add_mark(self, row_revision: int, marks: tuple[int, ...]) -> None:
        row = RevisionMarksRow(marks[-KEY_RETENTION_HOURS - 1 :])
        await self._table.transact(
            [Condition(MARKS_KEY, row_revision)], [Write(MARKS_KEY, encode(row))], TABLE_TIMEOUT_S
        )


def _revision_before(marks: tuple[int, ...], hours: int) -> int:
    """Return the latest mark at least ``hours`` old, or 0; marks are an hour or more apart."""
    return marks[-hours - 1] if len(marks) > hours else 0
