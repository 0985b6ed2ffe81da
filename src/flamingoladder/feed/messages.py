"""Messages by which hosts bring each other changes of the store's tables."""

from __future__ import annotations

import msgspec

from flamingoladder.storage.feed import StoredRow


class TableChanges(msgspec.Struct, frozen=True, tag="tc"):
    """All changes of a table after version ``after`` and up to ``version`` of a store's era."""

    table: str
    after: int
    version: int
    rows: tuple[StoredRow, ...]
    era: int = 0


class TableVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version up to which a copy is complete, that of its newest change, and their era."""

    complete: int
    newest_change: int
    era: int = 0


class TableVersions(msgspec.Struct, frozen=True, tag="tv"):
    """Proof that the sender's copies of these tables are up to date: the store just answered."""

    by_table: dict[str, TableVersion]


FeedMessage = TableChanges | TableVersions
