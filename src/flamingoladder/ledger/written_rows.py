"""The rows that this host wrote lately, kept in case the store comes back without them."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from flamingoladder.ledger.entries import ANSWER_NOT_KEPT
from flamingoladder.ledger.rows import ClaimRow
from flamingoladder.ledger.rows import ClaimState
from flamingoladder.ledger.rows import StoredOutcome
from flamingoladder.ledger.rows import encode

# Longer than the store goes back in a recovery.
REMEMBERED_S = 60.0
MAX_REMEMBERED_BYTES = 8 * 1024 * 1024


class WrittenRow(msgspec.Struct, frozen=True):
    """A row as this host wrote it at ``written_at``, in monotonic seconds."""

    row: ClaimRow
    size_bytes: int
    written_at: float


class WrittenRows:
    """Rows by key, the oldest first.

    Beyond ``MAX_REMEMBERED_BYTES`` an answer is dropped, never the fact of the run.
    """

    __slots__ = ("_by_key", "_bytes")

    def __init__(self) -> None:
        self._bytes = 0
        self._by_key: OrderedDict[str, WrittenRow] = OrderedDict()

    def add(self, row_key: str, row: ClaimRow, now: float) -> None:
        """Remember a row that was just written."""
        self._remove(row_key)
        self._remove_old(now)
        size_bytes = len(encode(row))
        if row.outcome is not None and self._bytes + size_bytes > MAX_REMEMBERED_BYTES:
            row = msgspec.structs.replace(row, outcome=StoredOutcome(refusal=ANSWER_NOT_KEPT))
            size_bytes = len(encode(row))
        self._bytes += size_bytes
        self._by_key[row_key] = WrittenRow(row, size_bytes, now)

    def get(self, row_key: str) -> ClaimRow | None:
        """Return the row as this host wrote it lately, or None."""
        written = self._by_key.get(row_key)
        return None if written is None else written.row

    def remove_claim(self, row_key: str, attempt: int) -> None:
        """Forget a claim that was given up, unless a later row has taken its place."""
        row = self.get(row_key)
        if row is not None and (row.state, row.attempt) == (ClaimState.CLAIMED, attempt):
            self._remove(row_key)

    def keys(self, now: float) -> list[str]:
        """Return the keys of the rows that were written lately."""
        self._remove_old(now)
        return list(self._by_key)

    def _remove(self, row_key: str) -> None:
        written = self._by_key.pop(row_key, None)
        if written is not None:
            self._bytes -= written.size_bytes

    def _remove_old(self, now: float) -> None:
        while self._by_key:
            row_key, oldest = next(iter(self._by_key.items()))
            if now - oldest.written_at < REMEMBERED_S:
                return
            self._remove(row_key)
