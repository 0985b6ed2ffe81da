"""Whether the store's head proves that nothing newer is in force."""

from __future__ import annotations


class StoreTrust:
    """Withdraws the trust in the store's head when the store comes back from an older copy.

    A host that has missed versions would else take an old head that happens to be its own for the
    newest. The head is trusted again once a majority has confirmed, in this era of the store, that
    it knows of nothing newer: every later version needs the acknowledgement of a majority.
    A host's first era is trusted, as its registration is committed with such a majority.
    """

    __slots__ = ("_trusted_era", "era")

    def __init__(self) -> None:
        self.era: int | None = None
        self._trusted_era: int | None = None

    @property
    def is_trusted(self) -> bool:
        """Return whether the head may prove a version."""
        return self.era is not None and self.era == self._trusted_era

    def observe(self, era: int) -> bool:
        """Note the era of an answer; return whether the store has come back from an older copy."""
        if self.era is None:
            self.era = self._trusted_era = era
            return False
        if era <= self.era:
            return False
        self.era = era
        return True

    def lose(self) -> None:
        """Note that the head is older than what this host has installed."""
        self._trusted_era = None

    def confirm(self, era: int) -> None:
        """Note that a majority, asked in ``era``, knows of nothing newer than the head."""
        if era == self.era:
            self._trusted_era = era
