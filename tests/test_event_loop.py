"""Tests of the daemons' event loop."""

from __future__ import annotations

import asyncio
import time

import pytest

from flamingoladder.event_loop import SuspensionAwareLoop
from flamingoladder.event_loop import run

SUSPENDED_S = 60.0
TIMEOUT_S = 30.0


class SuspendedClock:
    """A clock that counts, beside the time that passes, how long the machine was suspended."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.suspended_s


def test_deadline_passes_while_the_machine_is_suspended() -> None:
    """On CLOCK_MONOTONIC it did not, and a lease that had lapsed was used."""
    clock = SuspendedClock()

    async def scenario() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            clock.suspended_s = SUSPENDED_S
            await asyncio.Event().wait()

    runner = asyncio.Runner(loop_factory=lambda: SuspensionAwareLoop(clock))
    with runner, pytest.raises(TimeoutError):
        runner.run(scenario())


def test_daemons_run_on_the_time_since_boot() -> None:
    async def scenario() -> float:
        return asyncio.get_running_loop().time()

    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= run(scenario()) <= time.clock_gettime(time.CLOCK_BOOTTIME)
