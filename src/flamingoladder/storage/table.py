"""The platform's transactional table service."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence


MAX_TRANSACTION_ROWS = 50


class Row(msgspec.Struct, frozen=True):
    """A row: ``revision`` is the table revision of its last write, always above 0."""

    key: str
    value: bytes
    revision: int


class Rows(msgspec.Struct, frozen=True):
    """The rows under a prefix, all read at table revision ``revision``."""

    rows: tuple[Row, ...]
    revision: int

    @property
    def by_key(self) -> dict[str, Row]:
        """Return the rows by their key."""
        return {row.key: row for row in self.rows}


class Condition(msgspec.Struct, frozen=True):
    """Requires that a row's revision equals ``revision``; 0 requires that the row is absent."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """Sets a row's value, or deletes the row if ``value`` is None."""

    key: str
    value: bytes | None


class Commit(msgspec.Struct, frozen=True):
    """The answer to a transaction: whether it was committed, at which table revision."""

    committed: bool
    revision: int


class TableService(ABC):
    """A table with transactions; each committed transaction raises the table's revision by one.

    ``era`` is the newest that an answer named. It rises when the table comes back from an older
    copy, in which revisions are given out again; no answer of an earlier era is returned after.
    """

    @property
    @abstractmethod
    def era(self) -> int:
        """Return the newest era that an answer named."""

    @abstractmethod
    async def read(self, prefix: str, timeout_s: float) -> Rows:
        """Return all rows whose key starts with ``prefix``, in key order, from one revision.

        :raises PlatformUnavailableError: if no answer came within ``timeout_s`` seconds.
        """

    @abstractmethod
    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row of ``key``, or None.

        :raises PlatformUnavailableError: if no answer came within ``timeout_s`` seconds.
        """

    @abstractmethod
    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write], timeout_s: float
    ) -> Commit:
        """Apply all ``writes`` if all ``conditions`` hold, else none.

        At most ``MAX_TRANSACTION_ROWS`` conditions and as many writes, one for each key.

        :raises PlatformRefusedError: if the service does not take such a transaction.
        :raises PlatformUnavailableError: if the transaction certainly was not sent.
        :raises OutcomeUnknownError: if it was sent and no answer came within ``timeout_s`` seconds.
        """
