"""The progress of one request over one connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import Transport

    from aiohttp import ClientResponse


class Exchange:
    """The progress of one request.

    ``connected`` is set before the request is written, so no byte can have left while it is False.
    ``reused`` tells a kept connection from a new one. ``silent`` is set while no new byte of the
    answer has come for the check time.
    """

    __slots__ = ("_timeout", "connected", "deadline", "response", "reused", "silent", "transport")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.connected = False
        self.silent = False
        self.reused = False
        self.transport: Transport | None = None
        self.response: ClientResponse | None = None
        self._timeout: asyncio.Timeout | None = None

    @property
    def progress(self) -> int:
        """Return a number that grows with each part of the answer; it is 0 before the head."""
        return 0 if self.response is None else 1 + self.response.content.total_bytes

    def open(self) -> asyncio.Timeout:
        """Return the context that bounds the request by the deadline, in monotonic seconds."""
        self._timeout = asyncio.timeout_at(self.deadline)
        return self._timeout

    def abandon(self) -> None:
        """End the request now; its connection is closed."""
        if self._timeout is None or self._timeout.expired():
            return
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def end(self, *, whole: bool) -> None:
        """Note the end; without a whole answer the connection is closed.

        No other request can then meet what still comes from that connection.
        """
        self._timeout = None
        if not whole and self.transport is not None:
            self.transport.abort()
