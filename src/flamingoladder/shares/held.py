"""Requests that are held, first in first out, while tokens are on their way."""

from __future__ import annotations

import asyncio
from collections import deque


class HeldRequests:
    """The held requests of one allowance."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: deque[asyncio.Future[None]] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def join(self) -> asyncio.Future[None]:
        """Return a future at the end of the queue, done once the request is paid for."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        return waiter

    def leave(self, waiter: asyncio.Future[None]) -> None:
        """Take a request off the queue that won't wait any longer."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def first(self) -> bool:
        """Return whether a request is first in the queue, after dropping those that gave up."""
        while self._waiters and self._waiters[0].done():
            self._waiters.popleft()
        return bool(self._waiters)

    def release_first(self) -> None:
        """Let the first request go on."""
        self._waiters.popleft().set_result(None)
