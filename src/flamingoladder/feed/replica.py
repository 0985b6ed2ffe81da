"""A host's copy of one table: up to which version it is complete, and what it lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.feed.messages import TableChanges
from flamingoladder.feed.messages import TableVersion
from flamingoladder.storage.exceptions import PlatformUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.feed.reader import TableReader
    from flamingoladder.storage.feed import StoredRow
    from flamingoladder.storage.feed import StoredRows


class TableReplica:
    """Takes in rows from the store and from other hosts; nothing older follows something newer.

    ``version`` is that up to which the copy is complete, or None before the table was read whole.
    """

    __slots__ = (
        "_claim",
        "_claimed_at",
        "_least_version",
        "_newest_change",
        "_reader",
        "_settled_claim",
        "_versions_by_key",
        "version",
    )

    def __init__(self, reader: TableReader) -> None:
        self._reader = reader
        self.version: int | None = None
        self._least_version = 0
        self._newest_change = 0
        self._versions_by_key: dict[str, int] = {}
        self._claim = 0
        self._claimed_at = 0.0
        self._settled_claim = 0

    @property
    def state(self) -> TableVersion | None:
        """Return the versions of this copy, or None before the table was read whole."""
        return None if self.version is None else TableVersion(self.version, self._newest_change)

    @property
    def claim(self) -> int:
        """Return the newest change that another host has and this one lacks, or 0."""
        lacks = self.version is not None and self._claim > max(self.version, self._settled_claim)
        return self._claim if lacks else 0

    def is_overdue(self, now: float, grace_s: float) -> bool:
        """Return whether another host has had a change for ``grace_s`` that this one lacks."""
        return self.claim > 0 and now - self._claimed_at >= grace_s

    def forget(self) -> None:
        """Require that the table is read whole, as its history is lost."""
        self.version = None

    def replace(self, found: StoredRows, now: float) -> None:
        """Take in the whole table.

        :raises PlatformUnavailableError: if it is older than what was taken in before.
        """
        if found.position.version < self._least_version:
            raise PlatformUnavailableError(
                f"whole table of version {found.position.version}, had {self._least_version}"
            )
        self._reader.replace(found.rows, now)
        self._versions_by_key = {row.key: row.version for row in found.rows}
        self.version = self._least_version = found.position.version
        self._newest_change = max([found.position.version, *self._versions_by_key.values()])

    def take(self, found: StoredRows, now: float) -> TableChanges | None:
        """Take in the store's answer to a poll; return what it changed, for other hosts."""
        after = self._newest_change
        rows = self._take(found.rows, found.position.version, now)
        if not rows:
            return None
        return TableChanges("", after, found.position.version, rows)

    def take_relayed(self, changes: TableChanges, now: float) -> bool:
        """Take in changes from another host; return False if changes before them are missing."""
        if self.version is None or self.version < changes.after:
            return False
        self._take(changes.rows, changes.version, now)
        return True

    def note_state(self, state: TableVersion, now: float) -> None:
        """Compare with another host's copy: this one is as complete, or lacks its newest change."""
        if self.version is None:
            return
        if self.version >= state.newest_change:
            self._advance(state.complete)
            return
        if not self.claim:
            self._claimed_at = now
        self._claim = max(self._claim, state.newest_change)

    def settle(self, claim: int) -> None:
        """Note that the store was asked after ``claim`` was known: it has nothing more."""
        self._settled_claim = max(self._settled_claim, claim)

    def _take(self, rows: Iterable[StoredRow], version: int, now: float) -> tuple[StoredRow, ...]:
        newest_by_key = {row.key: row for row in rows if self._is_newer(row)}
        fresh = tuple(sorted(newest_by_key.values(), key=_version_of))
        for row in fresh:
            self._versions_by_key[row.key] = row.version
            if row.value is None:
                del self._versions_by_key[row.key]
        if fresh:
            self._newest_change = max(self._newest_change, *(row.version for row in fresh))
            self._reader.change(fresh, now)
        self._advance(version)
        return fresh

    def _is_newer(self, row: StoredRow) -> bool:
        known = max(self.version or 0, self._versions_by_key.get(row.key, 0))
        return row.version > known

    def _advance(self, version: int) -> None:
        self.version = max(self.version or 0, version)
        self._least_version = max(self._least_version, self.version)


def _version_of(row: StoredRow) -> int:
    return row.version
