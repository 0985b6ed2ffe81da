"""Tests of calls that overlap."""

from __future__ import annotations

import asyncio

import pytest

from flamingoladder.feed.overlapping import OverlappingCalls
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import PlatformUnavailableError

NEVER_S = 60.0
GIVEN_UP_S = 1.5
INTERVAL_S = 0.6
OVERDUE_S = 1.0


class Store:
    """Answers calls sent after ``back_at`` at once, and those sent before never."""

    def __init__(self, back_at: float) -> None:
        self.back_at = back_at
        self.sent_at: list[float] = []
        self.overdue_at: list[float] = []
        self.cancelled = 0

    async def call(self) -> float:
        sent_at = asyncio.get_running_loop().time()
        self.sent_at.append(sent_at)
        if sent_at >= self.back_at:
            return sent_at
        try:
            await asyncio.sleep(GIVEN_UP_S)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        raise PlatformUnavailableError("no answer")

    def note_overdue(self) -> None:
        self.overdue_at.append(asyncio.get_running_loop().time())


@pytest.mark.parametrize("back_at", [0.0, 0.5, 2.0, 7.3])
def test_answer_comes_an_interval_after_the_return_at_most(back_at: float) -> None:
    async def scenario() -> Store:
        store = Store(back_at)
        calls = OverlappingCalls(store.call, INTERVAL_S, store.note_overdue)
        answered_at = await calls.first_answer(store.call(), OVERDUE_S)
        assert answered_at <= max(OVERDUE_S, back_at + INTERVAL_S)
        await asyncio.sleep(0)
        return store

    store = run_on_injected_time(scenario())
    assert len(store.overdue_at) == int(back_at > 0)
    assert store.cancelled <= GIVEN_UP_S // INTERVAL_S + 1


@pytest.mark.parametrize("error", [PlatformUnavailableError, HistoryLostError])
def test_failure_without_another_pending_call_is_raised(error: type[Exception]) -> None:
    async def fail() -> None:
        raise error("refused")

    async def scenario() -> None:
        calls = OverlappingCalls(fail, INTERVAL_S, lambda: None)
        with pytest.raises(error):
            await calls.first_answer(fail(), OVERDUE_S)

    run_on_injected_time(scenario())


def test_cancelling_cancels_all_calls() -> None:
    async def scenario() -> Store:
        store = Store(NEVER_S)
        calls = OverlappingCalls(store.call, INTERVAL_S, store.note_overdue)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(OVERDUE_S + 0.1):
                await calls.first_answer(store.call(), OVERDUE_S)
        await asyncio.sleep(0)
        return store

    store = run_on_injected_time(scenario())
    assert store.cancelled == len(store.sent_at) == 2
