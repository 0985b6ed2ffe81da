"""Tests of the objects that a target handled recently."""

from __future__ import annotations

from msgspec.structs import replace

from flamingoladder.targets.state import RECENT_OBJECTS_KEPT
from tests.targets.test_slow_start import target


def test_only_the_latest_objects_are_kept() -> None:
    state = target()
    for number in range(RECENT_OBJECTS_KEPT):
        state.record_object(str(number))
    state.record_object("0")
    state.record_object("new")
    assert state.recently_handled("0")
    assert state.recently_handled("new")
    assert not state.recently_handled("1")
    assert not state.recently_handled(None)


def test_restart_clears_the_handled_objects() -> None:
    state = target()
    state.record_object("0")
    state.update(replace(state.record, started_ms=1), 0.0)
    assert not state.recently_handled("0")
