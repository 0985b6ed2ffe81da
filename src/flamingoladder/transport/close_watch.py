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

    __slots__ = ("_is_needed", "_on_closed", "_poller", "_timer")

    def __init__(self, transport: asyncio.Transport, on_closed: Callable[[], None]) -> None:
        self._on_closed = on_closed
        self._poller = select.poll()
        self._poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        self._timer: asyncio.TimerHandle | None = None
        self._is_needed = False

    def start(self) -> None:
        """Ask from now on, as the connection isn't read."""
        self._is_needed = True
        if self._timer is None:
            self._schedule()

    def stop(self) -> None:
        """Ask no more, as the connection is read; the timer, if any, runs out by itself."""
        self._is_needed = False

    def close(self) -> None:
        """Ask no more, as the connection is closed."""
        self._is_needed = False
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self._is_needed:
            return
        if self._poller.poll(0):
            self._on_closed()
        else:
            self._schedule()
