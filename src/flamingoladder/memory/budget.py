"""The byte budget of one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.memory.accounts import Shares
from flamingoladder.memory.process_size import resident_bytes
from flamingoladder.memory.stalls import Transfers

if TYPE_CHECKING:
    from flamingoladder.memory.accounts import Account

KIB = 1_024
MIB = 1_024 * KIB
# Requests and answers up to this size use the reserved part of the budget.
SMALL_BYTES = 64 * KIB
# Without a known memory: two bodies of the default ``max_body_bytes``.
DEFAULT_LIMIT_BYTES = 128 * MIB
MIN_LIMIT_BYTES = 8 * MIB
# The peak of a process stays under 0.7 of its memory. The rest of the difference is for what the
# allocator holds beyond the bytes in use.
PEAK_FRACTION = 0.7
MARGIN_FRACTION = 0.07
SMALL_FRACTION = 1 / 16
SHARE_FRACTION = 0.5
# What a large body holds beside its content: read buffer and receive buffer of its connection.
LARGE_OVERHEAD_BYTES = 192 * KIB
# What an open connection takes in objects and buffers. 1,500 took 6 KB each with an unfinished
# head, and more with a request.
CONNECTION_BYTES = 16 * KIB
# Requests that wait for room hold their connections' read buffers.
MAX_WAITING = 32


class MemoryBudget:
    """Bytes of callers' bodies, of answers not yet written out, and of unread input.

    Load: many clients send large bodies or read long answers slowly. Reservations of up to
    ``SMALL_BYTES`` have a reserved part; larger ones never get that.
    """

    __slots__ = (
        "_connection_bytes",
        "_large_bytes",
        "_memory_bytes",
        "_reserved_bytes",
        "_shares",
        "_small_bytes",
        "_waiters",
        "_was_used",
        "limit_bytes",
        "transfers",
        "unread_bytes",
    )

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES, memory_bytes: int = 0) -> None:
        self._memory_bytes = memory_bytes
        self._small_bytes = 0
        self._large_bytes = 0
        self._connection_bytes = 0
        self._was_used = False
        self.unread_bytes = 0
        self._shares = Shares()
        self._waiters: set[asyncio.Future[None]] = set()
        self.transfers = Transfers()
        self._set_limit(limit_bytes)

    @classmethod
    def from_config(cls, memory_mb: float) -> MemoryBudget:
        """Return the budget of a process with this memory in megabytes, 0 if it is not known."""
        if not memory_mb:
            return cls()
        memory_bytes = int(memory_mb * MIB)
        return cls(limit_for(memory_bytes, resident_bytes()), memory_bytes)

    @property
    def large_limit_bytes(self) -> int:
        """Return the largest body that can ever be had."""
        return self.limit_bytes - self._reserved_bytes - LARGE_OVERHEAD_BYTES

    @property
    def held_bytes(self) -> int:
        """Return the bytes in use, without those of open connections."""
        return self._small_bytes + self._large_bytes + self.unread_bytes

    @property
    def may_buffer(self) -> bool:
        """Return whether connections may hold more unread bytes."""
        return self.unread_bytes < self._reserved_bytes

    def measure_rest(self) -> None:
        """Take the present size of the process as its size at rest, until a large body was held.

        From then on it may hold free memory that is used again.
        """
        if self._memory_bytes and not self._was_used:
            self._set_limit(limit_for(self._memory_bytes, resident_bytes()))

    def take(self, more_bytes: int, accounts: tuple[Account, ...], now: float) -> bool:
        """Return whether a large reservation may have ``more_bytes``, and count them."""
        others_bytes = self._small_bytes + self.unread_bytes + self._connection_bytes
        others_bytes = max(self._reserved_bytes, others_bytes)
        share_bytes = int(self.large_limit_bytes * SHARE_FRACTION)
        fits = self._large_bytes + more_bytes + others_bytes <= self.limit_bytes
        if not fits or not self._shares.allows(accounts, more_bytes, share_bytes, now):
            self._shares.note_wanted(accounts, now)
            return False
        self._was_used = True
        self._large_bytes += more_bytes
        self._shares.add(accounts, more_bytes)
        return True

    def take_small(self, more_bytes: int) -> bool:
        """Return whether a small reservation may have ``more_bytes``, and count them."""
        if self.held_bytes + self._connection_bytes + more_bytes > self.limit_bytes:
            return False
        self._small_bytes += more_bytes
        return True

    def release(self, freed_bytes: int, accounts: tuple[Account, ...]) -> None:
        """Count bytes of a large reservation that are no longer in use."""
        self._large_bytes -= freed_bytes
        self._shares.add(accounts, -freed_bytes)
        self._wake()

    def release_small(self, freed_bytes: int) -> None:
        """Count bytes of a small reservation that are no longer in use."""
        self._small_bytes -= freed_bytes
        self._wake()

    def count_connections(self, more: int) -> None:
        """Count open connections, or less of them."""
        self._connection_bytes += more * CONNECTION_BYTES

    def count_unread(self, more_bytes: int) -> None:
        """Count bytes that connections hold unread, or less of them."""
        self.unread_bytes += more_bytes
        if more_bytes < 0:
            self._wake()

    async def wait_for_release(self, until: float) -> bool:
        """Return True when bytes were released, or False at ``until`` or if too many wait."""
        if len(self._waiters) >= MAX_WAITING:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout_at(until):
                await waiter
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True

    def _set_limit(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._reserved_bytes = int(limit_bytes * SMALL_FRACTION)

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


def limit_for(memory_bytes: int, rest_bytes: int) -> int:
    """Return the budget of a process with this memory that takes ``rest_bytes`` at rest."""
    usable_bytes = int(memory_bytes * (PEAK_FRACTION - MARGIN_FRACTION))
    return max(MIN_LIMIT_BYTES, usable_bytes - rest_bytes)
