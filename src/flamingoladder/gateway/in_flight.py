"""Counter of operations in flight, so that a graceful stop can wait for them."""

from __future__ import annotations

import asyncio

from flamingoladder.waiting import is_set_within


class InFlightCounter:
    """Counter of operations, each of which enters it as a context manager."""

    __slots__ = ("_idle", "count")

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> None:
        """Increment the count."""
        self.count += 1
        self._idle.clear()

    def __exit__(self, *_exception: object) -> None:
        """Decrement the count."""
        self.count -= 1
        if self.count == 0:
            self._idle.set()

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Return whether the count fell to 0 within ``timeout_s`` seconds."""
        return await is_set_within(self._idle, timeout_s)
