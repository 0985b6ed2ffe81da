"""Tests of the recorder."""

from __future__ import annotations

import pytest

from flamingoladder.timeline.events import Event
from flamingoladder.timeline.recorder import HybridClock
from flamingoladder.timeline.recorder import format_event


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("plain", "event=e f=plain"),
        ("", 'event=e f=""'),
        ("two words", 'event=e f="two words"'),
        ("line\nbreak", 'event=e f="line\\nbreak"'),
        ('say "x"', 'event=e f="say \\"x\\""'),
    ],
)
def test_format_event_keeps_one_line(value: str, expected: str) -> None:
    event = Event(1, "h1", "i1", "e", {"f": value})
    assert format_event(event) == f"clock=1 host=h1 incarnation=i1 {expected}"


def test_clock_never_runs_behind_an_observed_value() -> None:
    clock = HybridClock()
    ahead = clock.tick() + 10**9
    clock.observe(ahead)
    assert clock.tick() == ahead + 1
