"""A promise that a soak found broken."""

from __future__ import annotations

import msgspec


class Broken(msgspec.Struct, frozen=True):
    """A promise that was broken, and what shows that."""

    promise: str
    evidence: str
