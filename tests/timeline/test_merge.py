"""Tests of merging and filtering time lines."""

from __future__ import annotations

from random import Random

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network
from flamingoladder.timeline.events import Event
from flamingoladder.timeline.logs import parse_events
from flamingoladder.timeline.merge import EventFilter
from flamingoladder.timeline.merge import TimelineCollector
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.timeline.recorder import format_event

EVENT = Event(5, "h1", "i1", "request.done", {"request": "r1", "workspace": "w", "key_id": "k"})


@pytest.mark.parametrize(
    ("event_filter", "kept"),
    [
        (EventFilter(), True),
        (EventFilter(request="r1"), True),
        (EventFilter(request="r2"), False),
        (EventFilter(workspace="w", key_id="k"), True),
        (EventFilter(workspace="w", key_id="other"), False),
        (EventFilter(kind="request"), True),
        (EventFilter(kind="request.done"), True),
        (EventFilter(kind="req"), False),
    ],
)
def test_filter(event_filter: EventFilter, kept: bool) -> None:
    assert event_filter.keeps(EVENT) is kept


@pytest.mark.parametrize("value", ["", "a b", 'x"y', "line\nbreak", "a=b", "é"])
def test_a_logged_event_is_read_back(value: str) -> None:
    event = Event(7, "h1", "i1", "e", {"detail": value})
    assert list(parse_events(["noise", format_event(event)])) == [event]


def test_events_of_all_hosts_that_answer_are_merged() -> None:
    async def scenario() -> list[Event]:
        network = Network(Random(1))
        recorders = [Recorder(f"h{number}", "i") for number in (1, 2, 3)]
        collectors = [
            TimelineCollector(network.join(recorder.host, "i"), recorder) for recorder in recorders
        ]
        for recorder in reversed(recorders):
            recorder.record("test.event", number=recorder.host)
        network.cuts.add(("h3", "h1"))
        return await collectors[0].collect(0)

    events = run_on_injected_time(scenario())
    assert sorted(event.host for event in events) == ["h1", "h2"]
    assert [event.clock for event in events] == sorted(event.clock for event in events)
