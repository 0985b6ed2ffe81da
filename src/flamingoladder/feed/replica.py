"""A host's copy of one table: up to which position it is complete, and what it lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.feed.messages import TableChanges
from flamingoladder.feed.messages import TableVersion
from flamingoladder.feed.table_rows import TableRows
from flamingoladder.feed.table_rows import version_of
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.feed import StorePosition

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.feed.reader import TableReader
    from flamingoladder.storage.feed import StoredRow
    from flamingoladder.storage.feed import StoredRows

START = StorePosition(0, 0)


class TableReplica:
    """Takes in rows from the store and from other hosts; nothing older follows something newer.

    ``position`` is that up to which the copy is complete, or None before the table was read whole.
    """

    __slots__ = (
        "_claim",
        "_claimed_at",
        "_last_position",
        "_newest_change",
        "_reached",
        "_settled_claim",
        "position",
        "rows",
    )

    def __init__(self, reader: TableReader, rewrite_grace_s: float) -> None:
        self.rows = TableRows(reader, rewrite_grace_s)
        self.position: StorePosition | None = None
        self._last_position: StorePosition | None = None
        self._newest_change = 0
        self._claim = START
        self._claimed_at = 0.0
        self._reached = START
        self._settled_claim = START

    @property
    def era(self) -> int | None:
        """Return the newest era from which this copy has rows, or None before the first."""
        return None if self._last_position is None else self._last_position.era

    @property
    def state(self) -> TableVersion | None:
        """Return the versions of this copy, or None before the table was read whole."""
        if self.position is None:
            return None
        return TableVersion(self.position.version, self._newest_change, self.position.era)

    @property
    def claim(self) -> StorePosition | None:
        """Return the position up to which there may be changes that this copy lacks, if any.

        Another host has a change of that position, or an answer about another table named it.
        """
        told = self._claim if self._claim > self._settled_claim else START
        claim = max(told, self._reached)
        return claim if self.position is not None and claim > self.position else None

    def is_overdue(self, now: float, grace_s: float) -> bool:
        """Return whether changes may have been lacking for ``grace_s`` seconds."""
        return self.claim is not None and now - self._claimed_at >= grace_s

    def forget(self) -> None:
        """Require that the table is read whole, as its history is lost."""
        self.position = None

    def require_recent(self, position: StorePosition) -> None:
        """Check that a whole table of ``position`` may be taken in.

        :raises PlatformUnavailableError: if it is older than what was taken in before.
        """
        if self._last_position is not None and position < self._last_position:
            raise PlatformUnavailableError(f"whole table of {position}, had {self._last_position}")

    def replace(self, found: StoredRows, now: float) -> None:
        """Take in the whole table, which is as recent as ``require_recent`` demands."""
        position, last = found.position, self._last_position
        if last is not None and position.era > last.era:
            self.rows.replace_by_older(found.rows, position.version, now)
        else:
            self.rows.replace(found.rows, now)
        self.position = self._last_position = position
        self._newest_change = max([position.version, *map(version_of, found.rows)])

    def take(self, found: StoredRows, now: float) -> TableChanges | None:
        """Take in the store's answer to a poll; return what it changed, for other hosts."""
        after, position = self._newest_change, found.position
        rows = self._take(found.rows, position.version, now)
        if not rows:
            return None
        return TableChanges("", after, position.version, rows, position.era)

    def take_relayed(self, changes: TableChanges, now: float) -> bool:
        """Take in changes from another host; return False if changes before them are missing."""
        if self.position is None or changes.era != self.position.era:
            return False
        if self.position.version < changes.after:
            return False
        self._take(changes.rows, changes.version, now)
        return True

    def note_state(self, state: TableVersion, now: float) -> None:
        """Compare with another host's copy: this one is as complete, or lacks its newest change."""
        if self.position is None:
            return
        change = StorePosition(state.era, state.newest_change)
        if self.position.era == state.era and self.position >= change:
            self._advance(state.complete)
            return
        if self.claim is None:
            self._claimed_at = now
        self._claim = max(self._claim, change)

    def note_position(self, position: StorePosition, now: float) -> None:
        """Note that the store has reached a position: changes up to it may be lacking."""
        if self.claim is None:
            self._claimed_at = now
        self._reached = max(self._reached, position)

    def settle(self, claim: StorePosition | None) -> None:
        """Note that the store was asked after ``claim`` was known: it has nothing more."""
        if claim is None:
            return
        if self._claim <= claim:
            self._settled_claim = max(self._settled_claim, self._claim)
        if self._reached <= claim:
            self._reached = START

    def _take(self, rows: Iterable[StoredRow], version: int, now: float) -> tuple[StoredRow, ...]:
        newest_by_key = {row.key: row for row in rows if self._is_newer(row)}
        fresh = tuple(sorted(newest_by_key.values(), key=version_of))
        if fresh:
            self._newest_change = max(self._newest_change, *map(version_of, fresh))
            self.rows.change(fresh, now)
        self._advance(version)
        return fresh

    def _is_newer(self, row: StoredRow) -> bool:
        complete = 0 if self.position is None else self.position.version
        return row.version > max(complete, self.rows.version_of(row.key))

    def _advance(self, version: int) -> None:
        if self.position is None or version <= self.position.version:
            return
        self.position = self._last_position = StorePosition(self.position.era, version)
