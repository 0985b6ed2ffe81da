"""Keeps background tasks running."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from flamingoladder.timeline.recorder import Recorder

RESTART_PAUSE_S = 1.0


async def supervised(name: str, run: Callable[[], Awaitable[None]], recorder: Recorder) -> None:
    """Call ``run`` again whenever it ends with an error, and record the error."""
    while True:
        try:
            await run()
        except Exception as error:
            recorder.record("task.failed", task=name, error=f"{type(error).__name__}: {error}")
        else:
            return
        await asyncio.sleep(RESTART_PAUSE_S)
