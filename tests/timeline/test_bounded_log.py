"""Tests of the log whose volume is bounded."""

from __future__ import annotations

import os

import logbook
import pytest

from flamingoladder.timeline.bounded_log import BURST_LINES
from flamingoladder.timeline.bounded_log import LINES_PER_S
from flamingoladder.timeline.bounded_log import MAX_WAITING_BYTES
from flamingoladder.timeline.bounded_log import BoundedHandler

SECONDS = 10
LINES_A_SECOND = 5_000


class Clock:
    """Seconds that a test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe() -> tuple[int, int]:
    return os.pipe()


def log(handler: BoundedHandler, text: str) -> None:
    with handler.applicationbound():
        logbook.Logger("test").info(text)


def test_lines_over_the_rate_are_dropped_and_counted(pipe: tuple[int, int]) -> None:
    clock = Clock()
    reader, writer = pipe
    handler = BoundedHandler(writer, logbook.INFO, clock)
    written = b""
    for step in range(SECONDS * LINES_A_SECOND):
        clock.now = step / LINES_A_SECOND
        log(handler, f"event=x number={step}")
        if step % 100 == 0:
            written += os.read(reader, 1_000_000)
    clock.now += 1
    log(handler, "event=last")
    written += os.read(reader, 1_000_000)
    lines = written.decode().splitlines()
    told = [line for line in lines if line.startswith("event=log.dropped")]
    kept = len(lines) - len(told)
    assert kept <= BURST_LINES + (SECONDS + 1) * LINES_PER_S
    assert lines[-1] == "event=last"
    assert sum(int(line.rpartition("=")[2]) for line in told) == handler.dropped
    assert kept + handler.dropped == SECONDS * LINES_A_SECOND + 1


def test_a_reader_that_does_not_read_holds_up_nothing(pipe: tuple[int, int]) -> None:
    clock = Clock()
    reader, writer = pipe
    handler = BoundedHandler(writer, logbook.INFO, clock)
    line = "x" * 1_000
    for step in range(3_000):
        clock.now = step / 100
        log(handler, line)
    assert handler.dropped > 0
    waiting = 0
    while True:
        try:
            os.set_blocking(reader, False)
            waiting += len(os.read(reader, 1_000_000))
        except BlockingIOError:
            break
        handler.flush()
    assert waiting <= MAX_WAITING_BYTES + 1_000_000
    log(handler, "event=again")
    assert os.read(reader, 1_000_000).decode().splitlines()[-1] == "event=again"
