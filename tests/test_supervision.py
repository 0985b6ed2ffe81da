"""Tests of the supervision of background tasks."""

from __future__ import annotations

from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.supervision import supervised
from flamingoladder.timeline.recorder import Recorder


def test_a_failed_task_is_recorded_and_started_again() -> None:
    recorder = Recorder("h1", "i1")
    calls: list[int] = []

    async def fail_twice() -> None:
        calls.append(len(calls))
        if len(calls) < 3:
            raise TypeError("broken")

    run_on_injected_time(supervised("writer", fail_twice, recorder))
    assert calls == [0, 1, 2]
    assert [event.fields["error"] for event in recorder.since(0)] == ["TypeError: broken"] * 2
