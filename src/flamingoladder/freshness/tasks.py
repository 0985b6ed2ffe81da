"""Background tasks of one replica, cancelled when it is closed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from flamingoladder.timeline.recorder import Recorder

T = TypeVar("T")


class BackgroundTasks:
    """Holds tasks until they are done; ``close`` cancels the unfinished ones."""

    __slots__ = ("_recorder", "_tasks")

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run ``coroutine`` as a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._recorder.record("task.failed", error=repr(task.exception()))

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
