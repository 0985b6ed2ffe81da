"""Tables of the store as they are read whole and followed."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import msgspec


class StorePosition(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A moment of the store: its era, and the version that its counter had.

    The era rises when the store comes back from an older copy. Versions then go back and are
    given out again for other content, so those of different eras do not compare: a later era comes
    after all of an earlier one, without all that was written in it.
    """

    era: int
    version: int


class StoredRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of a table; ``value`` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


class StoredRows(msgspec.Struct, frozen=True):
    """Rows, and the position in the store from which their changes are to be followed."""

    rows: tuple[StoredRow, ...]
    position: StorePosition


class TableFeed(ABC):
    """Reads tables of the store. One counter numbers the transactions of all tables."""

    @abstractmethod
    async def read_all(self, table: str) -> StoredRows:
        """Return all rows of a table; changes after ``position`` may already be in them.

        :raises PlatformUnavailableError: if no whole answer came.
        """

    @abstractmethod
    async def follow(self, table: str, after: StorePosition, wait_s: float) -> StoredRows:
        """Return the rows that changed after position ``after``, waiting ``wait_s`` for the first.

        :raises HistoryLostError: if the store has dropped these changes.
        :raises StoreWentBackError: if the store is in a later era.
        :raises PlatformUnavailableError: if no whole answer came.
        """
