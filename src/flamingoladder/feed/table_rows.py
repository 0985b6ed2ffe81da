"""The rows of a table that a reader has, and those withheld from it after the store went back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.storage.feed import StoredRow

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from flamingoladder.feed.reader import TableReader

# Longer than the store goes back in a recovery.
REMEMBERED_DELETION_S = 60.0


class TableRows:
    """Brings rows to a reader. Times are monotonic seconds.

    After the store came back from an older copy, a row that differs from the reader's may be
    older: what was written since the copy is written again by its writer. Such a row is withheld
    until it is written again, or its writer had ``rewrite_grace_s`` for that. A row that the
    reader never had is not withheld, unless it was deleted lately.
    """

    __slots__ = (
        "_deleted_at_by_key",
        "_reader",
        "_rewrite_grace_s",
        "by_key",
        "withheld_by_key",
        "withheld_until",
    )

    def __init__(self, reader: TableReader, rewrite_grace_s: float) -> None:
        self._reader = reader
        self._rewrite_grace_s = rewrite_grace_s
        self._deleted_at_by_key: dict[str, float] = {}
        self.by_key: dict[str, StoredRow] = {}
        self.withheld_by_key: dict[str, StoredRow] = {}
        self.withheld_until = 0.0

    def version_of(self, key: str) -> int:
        """Return the version of the reader's row in the store's era, or 0."""
        row = self.by_key.get(key)
        return 0 if row is None else row.version

    def replace(self, rows: Iterable[StoredRow], now: float) -> None:
        """Take in the whole table; what is withheld stays so unless it changed."""
        found = {row.key: row for row in rows}
        self.withheld_by_key = {
            key: row
            for key, row in self.withheld_by_key.items()
            if row.value == _value_of(found, key)
        }
        for key in self.withheld_by_key:
            found.pop(key, None)
            if key in self.by_key:
                found[key] = self.by_key[key]
        for key in self.by_key.keys() - found.keys():
            self._note_deletion(key, now)
        self.by_key = found
        self._reader.replace(tuple(found.values()), now)

    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in changed rows, in the order of their changes."""
        for row in rows:
            self.withheld_by_key.pop(row.key, None)
            if row.value is not None:
                self.by_key[row.key] = row
                self._deleted_at_by_key.pop(row.key, None)
            elif self.by_key.pop(row.key, None) is not None:
                self._note_deletion(row.key, now)
        self._reader.change(rows, now)

    def replace_by_older(self, rows: Sequence[StoredRow], version: int, now: float) -> None:
        """Take in the whole table of a store that came back from an older copy.

        ``version`` is that of the table in the store's new era.
        """
        found = {row.key: row for row in rows}
        changed: list[StoredRow] = []
        self.withheld_by_key = {}
        for key in found.keys() | self.by_key.keys():
            row = found.get(key) or StoredRow(key, None, version)
            if key in self.by_key and self.by_key[key].value == row.value:
                self.by_key[key] = row
            elif key in self.by_key:
                # Versions of an earlier era do not compare.
                self.by_key[key] = msgspec.structs.replace(self.by_key[key], version=0)
                self.withheld_by_key[key] = row
            elif self._was_deleted(key, now):
                self.withheld_by_key[key] = row
            else:
                changed.append(row)
        self.withheld_until = now + self._rewrite_grace_s
        self._reader.went_back(rows, now)
        if changed:
            self.change(sorted(changed, key=version_of), now)

    def release(self, now: float) -> None:
        """Take in what is withheld, as it was not written again in time."""
        rows = sorted(self.withheld_by_key.values(), key=version_of)
        if rows:
            self.change(rows, now)

    def _was_deleted(self, key: str, now: float) -> bool:
        deleted_at = self._deleted_at_by_key.get(key)
        return deleted_at is not None and now - deleted_at < REMEMBERED_DELETION_S

    def _note_deletion(self, key: str, now: float) -> None:
        self._deleted_at_by_key = {
            other: at
            for other, at in self._deleted_at_by_key.items()
            if now - at < REMEMBERED_DELETION_S
        }
        self._deleted_at_by_key[key] = now


def version_of(row: StoredRow) -> int:
    """Return the version of a row."""
    return row.version


def _value_of(rows: dict[str, StoredRow], key: str) -> bytes | None:
    row = rows.get(key)
    return None if row is None else row.value
