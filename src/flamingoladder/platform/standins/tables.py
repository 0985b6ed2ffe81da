"""The rows of the store's stand-in, in memory."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

HISTORY_CHANGES = 10_000

RowKey = tuple[str, str, str]


class KeptRow(msgspec.Struct, frozen=True):
    """A row as the store keeps it; ``value`` is base64 text, or None once it was deleted."""

    table: str
    part: str
    key: str
    value: str | None
    version: int


class TablesCopy(msgspec.Struct, frozen=True):
    """All rows as they were at a version."""

    by_key: dict[RowKey, KeptRow]
    version: int


class Tables:
    """All tables. One counter numbers the transactions of all of them."""

    __slots__ = ("_changed", "_history", "_oldest", "by_key", "era", "version")

    def __init__(self) -> None:
        self.by_key: dict[RowKey, KeptRow] = {}
        self.era = 1
        self.version = 0
        self._history: deque[KeptRow] = deque(maxlen=HISTORY_CHANGES)
        self._oldest = 0
        self._changed = asyncio.Event()

    def conflicts(self, required: Iterable[tuple[RowKey, int]]) -> list[RowKey]:
        """Return the keys whose rows have another version than the one required."""
        return [key for key, version in required if self._version_of(key) != version]

    def apply(self, upserts: Iterable[tuple[RowKey, str]], remove: Iterable[RowKey]) -> None:
        """Set and delete rows in one transaction."""
        self.version += 1
        for key, value in upserts:
            self.by_key[key] = KeptRow(*key, value, self.version)
            self._history.append(self.by_key[key])
        for key in remove:
            if self.by_key.pop(key, None) is not None:
                self._history.append(KeptRow(*key, None, self.version))
        self._notify()

    def rows(self, table: str, part: str, start: str, end: str | None) -> list[KeptRow]:
        """Return the rows with keys from ``start`` up to ``end``, which is not included."""
        return [
            row
            for key, row in sorted(self.by_key.items())
            if key[:2] == (table, part) and key[2] >= start and (end is None or key[2] < end)
        ]

    def changes(self, table: str, after: int) -> list[KeptRow] | None:
        """Return the changes after a version, or None if they are forgotten or to come."""
        if not self._oldest <= after <= self.version:
            return None
        return [row for row in self._history if row.table == table and row.version > after]

    def forget_history(self) -> None:
        """Forget all changes up to now."""
        self._oldest = self.version
        self._history.clear()

    def copy(self) -> TablesCopy:
        """Return a copy of all rows."""
        return TablesCopy(dict(self.by_key), self.version)

    def restore(self, copy: TablesCopy) -> None:
        """Come back from a copy: what was written since is gone, and a new era begins."""
        self.by_key = dict(copy.by_key)
        self.version = copy.version
        self.era += 1
        kept = [row for row in self._history if row.version <= copy.version]
        self._history = deque(kept, maxlen=HISTORY_CHANGES)
        self._notify()

    async def wait_for_change(self) -> None:
        """Return after the next transaction, or when a new era begins."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _version_of(self, key: RowKey) -> int:
        row = self.by_key.get(key)
        return 0 if row is None else row.version
