"""Whether the store answers this host, as shown by the polls of one table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class StoreContact:
    """Suspends all polls while the store does not answer the polls that prove it reachable.

    A poll that was sent while the store was silent may never be answered, though the store is back,
    so those of all tables are sent anew.
    """

    __slots__ = ("_on_lost", "_reachable")

    def __init__(self) -> None:
        self._reachable = asyncio.Event()
        self._reachable.set()
        self._on_lost: list[Callable[[], None]] = []

    def on_lost(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` whenever the store stops answering."""
        self._on_lost.append(callback)

    def lose(self) -> None:
        """Note that the store does not answer."""
        if not self._reachable.is_set():
            return
        self._reachable.clear()
        for callback in self._on_lost:
            callback()

    def regain(self) -> None:
        """Note that the store answers."""
        self._reachable.set()

    async def wait(self) -> None:
        """Wait until the store answers."""
        await self._reachable.wait()
