"""The typed kinds of drains are those of the agreed state."""

from __future__ import annotations

from typing import get_args

from flamingoladder.config.agreed import DrainKind
from flamingoladder.console.drain_kind import DrainKindName


def test_the_typed_kinds_are_all_kinds() -> None:
    assert get_args(DrainKindName) == tuple(kind.value for kind in DrainKind)
