"""Finds that the other end has closed a connection that is not being read."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_INTERVAL_S = 0.2


class CloseWatch:
    """Asks the kernel periodically, as a close is else found only by reading up to it.

    Load: callers that leave while what they sent behind a request waits unread. ``on_closed`` is
    called once the other end has closed the connection.
    """

    __slots__ = ("_on_closed", "_poller", "_timer")

    def __init__(self, transport: asyncio.Transport, on_closed: Callable[[], None]) -> None:
        self._on_closed = on_closed
        self._poller = select.poll()
        self._poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        self._timer = self._next_check()

    def stop(self) -> None:
        """Stop, as the connection is read again or closed."""
        self._timer.cancel()

    def _next_check(self) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self._poller.poll(0):
            self._on_closed()
        else:
            self._timer = self._next_check()
