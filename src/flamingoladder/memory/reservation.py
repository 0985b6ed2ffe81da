"""Bytes of the budget that one body or answer holds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.memory.budget import LARGE_OVERHEAD_BYTES
from flamingoladder.memory.budget import SMALL_BYTES

if TYPE_CHECKING:
    from flamingoladder.memory.accounts import Account
    from flamingoladder.memory.budget import MemoryBudget


class Reservation:
    """Bytes of the budget with one owner, released with it or before.

    The reservation stays with the body that it is for, which a request that runs on in the
    background keeps. So it is released on all paths, at the latest when the body is freed.
    """

    __slots__ = ("_accounts", "_budget", "_is_large", "held_bytes")

    def __init__(self, budget: MemoryBudget, accounts: tuple[Account, ...] = ()) -> None:
        self._budget = budget
        self._accounts = accounts
        self._is_large = False
        self.held_bytes = 0

    def grow(self, more_bytes: int, now: float) -> bool:
        """Return whether the budget gives ``more_bytes``, and hold them."""
        wanted_bytes = self.held_bytes + more_bytes
        if self._is_large:
            if not self._budget.take(more_bytes, self._accounts, now):
                return False
        elif wanted_bytes <= SMALL_BYTES:
            if not self._budget.take_small(more_bytes):
                return False
        else:
            if not self._budget.take(wanted_bytes + LARGE_OVERHEAD_BYTES, self._accounts, now):
                return False
            self._budget.release_small(self.held_bytes)
            self._is_large = True
            wanted_bytes += LARGE_OVERHEAD_BYTES
        self.held_bytes = wanted_bytes
        return True

    async def grow_when_free(self, more_bytes: int, now: float, until: float) -> bool:
        """Return whether the budget gives ``more_bytes`` by ``until``, and hold them.

        Meanwhile nothing is read, and stalled transfers that hold what is wanted are ended.
        """
        while not self.grow(more_bytes, now):
            self._budget.transfers.end_stalled(more_bytes, now)
            if not await self._budget.wait_for_release(until):
                return False
            now = asyncio.get_running_loop().time()
        return True

    def release(self) -> None:
        """Give all bytes back; further calls do nothing."""
        freed_bytes, self.held_bytes = self.held_bytes, 0
        if not freed_bytes:
            return
        if self._is_large:
            self._budget.release(freed_bytes, self._accounts)
        else:
            self._budget.release_small(freed_bytes)

    def __del__(self) -> None:
        """Release with the owner."""
        self.release()
