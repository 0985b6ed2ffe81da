"""The connections of all callers of a port."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.waiting import is_set_within

if TYPE_CHECKING:
    from flamingoladder.memory.budget import MemoryBudget
    from flamingoladder.memory.events import MemoryEvents
    from flamingoladder.memory.idle_connection import IdleConnection

FILE_DESCRIPTORS = 200
STORE_DESCRIPTORS = 32
DESCRIPTORS_PER_PEER = 3
MIN_CONNECTIONS = 16
LONG_HEAD_BYTES = 131_072
OLD_HEAD_S = 1.0


class CallerConnections:
    """Bounds callers' connections and closes the one that has been idle longest.

    Load: clients that open connections and don't end a head, or keep many connections idle.
    ``header_timeout_s`` bounds an unfinished head, ``idle_timeout_s`` an idle connection; 0 sets
    no bound.
    """

    __slots__ = (
        "_all_closed",
        "_count",
        "_events",
        "_idle",
        "_max_fds",
        "budget",
        "header_timeout_s",
        "idle_timeout_s",
        "max_connections",
    )

    def __init__(self, budget: MemoryBudget, events: MemoryEvents, max_fds: int = 0) -> None:
        self.budget = budget
        self._events = events
        self._max_fds = max_fds
        # In the order in which they became idle, or began an unfinished head.
        self._idle: dict[IdleConnection, None] = {}
        self._count = 0
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self.header_timeout_s = 0.0
        self.idle_timeout_s = 0.0
        self.max_connections = 0
        self.expect_peers(0)

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return self._count

    def expect_peers(self, peers: int) -> None:
        """Leave descriptors for as many other hosts.

        A request has one connection to its caller and at most one to a target.
        """
        if self._max_fds:
            left = self._max_fds - FILE_DESCRIPTORS - STORE_DESCRIPTORS
            left -= DESCRIPTORS_PER_PEER * peers
            self.max_connections = max(MIN_CONNECTIONS, left // 2)

    def add(self, guard: IdleConnection) -> None:
        """Count a new connection; beyond the bound one is closed."""
        self._count += 1
        self._all_closed.clear()
        self.budget.count_connections(1)
        self.note_idle(guard)
        if self.max_connections and self._count > self.max_connections:
            self.close(next(iter(self._idle)), "too_many_connections")

    def remove(self, guard: IdleConnection) -> None:
        """Count a connection that is closed no more."""
        self._count -= 1
        if not self._count:
            self._all_closed.set()
        self.budget.count_connections(-1)
        self._idle.pop(guard, None)

    def note_idle(self, guard: IdleConnection) -> None:
        """Note that the connection has no request."""
        guard.idle_since = asyncio.get_running_loop().time()
        self._idle.pop(guard, None)
        self._idle[guard] = None

    def note_head(self, guard: IdleConnection) -> None:
        """Note the first byte of a head."""
        self.note_idle(guard)

    def note_busy(self, guard: IdleConnection) -> None:
        """Note that the connection has a request."""
        self._idle.pop(guard, None)

    def shorten_unread(self, newest: IdleConnection) -> None:
        """Close an unfinished head, as the unread input of all connections is too much.

        A whole head is taken up in the next turns of the loop, and its body stays within the read
        buffer; so only long and old heads are unfinished.
        """
        if newest.head_bytes > LONG_HEAD_BYTES:
            self.close(newest, "unread_input")
            return
        now = asyncio.get_running_loop().time()
        for guard in self._idle:
            if now - guard.idle_since < OLD_HEAD_S:
                return
            if guard.has_head:
                self.close(guard, "unread_input")
                return

    def close_expired(self, now: float) -> None:
        """Close the connections whose bounds have passed."""
        bounds = [bound for bound in (self.header_timeout_s, self.idle_timeout_s) if bound]
        if not bounds:
            return
        for guard in list(self._idle):
            age_s = now - guard.idle_since
            if age_s < min(bounds):
                return
            if guard.has_head and self.header_timeout_s and age_s >= self.header_timeout_s:
                self.close(guard, "head_timeout")
            elif not guard.has_head and self.idle_timeout_s and age_s >= self.idle_timeout_s:
                self.close(guard, "idle_timeout")

    async def wait_until_closed(self, timeout_s: float) -> bool:
        """Return whether all connections were closed within ``timeout_s`` seconds."""
        return await is_set_within(self._all_closed, timeout_s)

    def abort_idle(self) -> int:
        """Close all connections without a request; return how many answers are not written out."""
        transports = [guard.transport for guard in self._idle if guard.transport is not None]
        unwritten = sum(transport.get_write_buffer_size() > 0 for transport in transports)
        for transport in transports:
            transport.abort()
        return unwritten

    def close(self, guard: IdleConnection, reason: str) -> None:
        """Close a connection that has no request."""
        self._idle.pop(guard, None)
        self._events.record_closed(reason, guard.client, guard.head_bytes)
        guard.forget_unread()
        if guard.transport is not None:
            guard.transport.abort()
