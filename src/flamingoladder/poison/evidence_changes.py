"""Which requests' evidence has changed since it was last written."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


class ChangedEvidence(msgspec.Struct, frozen=True):
    """Groups of fingerprints against which more counts than before, and those that are cleared.

    A group are the fingerprints that have an end in common, as those of one request have.
    """

    groups: tuple[frozenset[int], ...]
    cleared: frozenset[int]


class EvidenceChanges:
    """Changes that are not written yet; ``changed`` is set while there are any."""

    __slots__ = ("_cleared", "_groups_by_first", "changed")

    def __init__(self) -> None:
        self._groups_by_first: dict[int, frozenset[int]] = {}
        self._cleared: set[int] = set()
        self.changed = asyncio.Event()

    def note_accused(self, fingerprints: Iterable[int]) -> None:
        """Note that more counts against these fingerprints of one end, if there are any."""
        group = frozenset(fingerprints)
        if not group:
            return
        first = min(group)
        self._groups_by_first[first] = group | self._groups_by_first.get(first, frozenset())
        self._cleared -= group
        self.changed.set()

    def note_cleared(self, fingerprints: Iterable[int]) -> None:
        """Note that nothing counts against these any more."""
        found = frozenset(fingerprints)
        if found:
            self._cleared |= found
            self.changed.set()

    def take(self) -> ChangedEvidence:
        """Return and forget the changes."""
        taken = ChangedEvidence(tuple(self._groups_by_first.values()), frozenset(self._cleared))
        self._groups_by_first.clear()
        self._cleared.clear()
        self.changed.clear()
        return taken
