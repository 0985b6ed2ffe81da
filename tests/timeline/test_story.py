"""Tests of the story of one request."""

from __future__ import annotations

import pytest

from flamingoladder.timeline.events import Event
from flamingoladder.timeline.story import story_of

SECOND = 1_000_000


def event(at_s: float, kind: str, host: str = "h1", **fields: str) -> Event:
    return Event(int(at_s * SECOND), host, f"{host}-1", kind, fields)


EVENTS = [
    event(1, "configuration.in_force", version="3"),
    event(1, "configuration.in_force", "h2", version="3"),
    event(30, "target.down", "h1", target="t1"),
    event(31, "target.down", "h1", target="t9"),
    event(32, "store.lost", "h1", table="op"),
    event(33, "request.sent", "h1", request="r0", target="t1"),
    event(35, "request.sent", "h1", request="r1", target="t1", end="lost"),
    event(36, "request.refused", "h1", request="r1", reason="upstream_lost"),
    event(37, "store.regained", "h1", table="op"),
]


def test_a_story_holds_the_request_its_targets_and_what_its_host_believed() -> None:
    kinds = [found.kind for found in story_of("r1", EVENTS)]
    assert kinds == [
        "configuration.in_force",
        "target.down",
        "store.lost",
        "request.sent",
        "request.refused",
    ]


def test_a_story_of_an_unknown_request_is_empty() -> None:
    assert story_of("r7", EVENTS) == []


@pytest.mark.parametrize(
    ("kind", "at_s", "fields", "told"),
    [
        ("target.leaving", 30, {}, True),
        ("target.leaving", 20, {}, False),
        ("target.paused", 34, {"resumes_after_s": "1.5"}, True),
        ("target.paused", 33, {"resumes_after_s": "1.5"}, False),
        ("target.paused", 10, {"resumes_after_s": "30.0"}, True),
        ("target.down", 34, {}, False),
    ],
)
def test_a_story_tells_why_another_target_was_not_used(
    kind: str, at_s: float, fields: dict[str, str], told: bool
) -> None:
    passed_over = event(at_s, kind, "h1", target="t7", **fields)
    elsewhere = event(at_s, kind, "h2", target="t7", **fields)
    events = sorted([*EVENTS, passed_over, elsewhere], key=lambda of: of.clock)
    found = story_of("r1", events)
    assert (passed_over in found) is told
    assert elsewhere not in found
