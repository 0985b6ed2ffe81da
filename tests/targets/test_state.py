"""Tests of what a host remembers of a target."""

from __future__ import annotations

from msgspec.structs import replace

from flamingoladder.targets.state import RECENT_OBJECTS_KEPT
from tests.targets.test_slow_start import target


def test_only_the_latest_objects_are_remembered() -> None:
    known = target()
    for number in range(RECENT_OBJECTS_KEPT):
        known.record_object(str(number))
    known.record_object("0")
    known.record_object("new")
    assert known.recently_handled("0")
    assert known.recently_handled("new")
    assert not known.recently_handled("1")
    assert not known.recently_handled(None)


def test_a_new_start_has_handled_nothing() -> None:
    known = target()
    known.record_object("0")
    known.update(replace(known.record, started_ms=1), 0.0)
    assert not known.recently_handled("0")
