"""Watches tables whose changes are awaited for long."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.feed.watcher import TableWatcher

if TYPE_CHECKING:
    from flamingoladder.feed.reader import TableReader
    from flamingoladder.feed.watcher import FeedServices
    from flamingoladder.storage.feed import StorePosition


class QuietWatcher(TableWatcher):
    """Watches a table with long polls, and sends them anew after the store was silent."""

    __slots__ = ("_behind_since",)

    def __init__(self, table: str, reader: TableReader, services: FeedServices) -> None:
        super().__init__(table, reader, services)
        self._behind_since: float | None = None
        services.contact.on_lost(self._on_contact_lost)

    def note_position(self, position: StorePosition, now: float) -> None:
        """Record that the store has reached ``position`` and this copy has not."""
        if self.replica.position is None or self.replica.position >= position:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
            return
        behind_s = round(now - self._behind_since, 3)
        self._record("store.behind", reached=position.version, behind_s=behind_s)

    @property
    def _poll_wait_s(self) -> float:
        return self._services.timing.quiet_wait_s

    async def _before_call(self) -> None:
        await self._services.contact.wait()

    def _after_answer(self, now: float) -> None:
        """Need nothing: other polls prove the store reachable."""

    def _after_failure(self) -> None:
        """Need nothing: the connection of this poll alone may have failed."""

    async def _after_change(self, now: float) -> None:
        self._services.exchange.prove([self.table], now)
        # Changes of the next moments then come with one answer.
        await asyncio.sleep(self._services.timing.gather_pause_s)

    def _on_news(self, now: float) -> None:
        self._note_return(now)
        super()._on_news(now)

    def _on_contact_lost(self) -> None:
        self._note_loss()
        self._interrupt()
