"""Tests of what a host remembers of a target."""

from __future__ import annotations

from msgspec.structs import replace

from flamingoladder.targets.state import OBJECTS_KEPT
from tests.targets.test_ramp import target


def test_only_the_latest_objects_are_remembered() -> None:
    known = target()
    for number in range(OBJECTS_KEPT):
        known.handled(str(number))
    known.handled("0")
    known.handled("new")
    assert known.has_handled("0")
    assert known.has_handled("new")
    assert not known.has_handled("1")
    assert not known.has_handled(None)


def test_a_new_start_has_handled_nothing() -> None:
    known = target()
    known.handled("0")
    known.update(replace(known.record, started_ms=1), 0.0)
    assert not known.has_handled("0")
