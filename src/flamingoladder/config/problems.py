"""Problems found in a configuration."""

from __future__ import annotations

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """One problem: the dotted path of the field, what is wrong, and how to mend it."""

    path: str
    message: str
    fix: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.fix}"
