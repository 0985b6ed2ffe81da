"""Waits for what another task brings about."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_S = 0.01
TRIES = 1_000


async def eventually(holds: Callable[[], bool]) -> None:
    """Return once ``holds`` does; fail if it never does."""
    for _ in range(TRIES):
        if holds():
            return
        await asyncio.sleep(PAUSE_S)
    raise AssertionError("it never came about")
