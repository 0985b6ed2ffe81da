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

    __slots__ = ()

    def __init__(self, table: str, reader: TableReader, services: FeedServices) -> None:
        super().__init__(table, reader, services)
        services.contact.on_lost(self._on_contact_lost)

    def note_position(self, position: StorePosition, now: float) -> None:
        """Note the position that an answer about another table named.

        The store answers, but this table's poll may have been lost: it proves nothing for itself.
        """
        self.replica.note_position(position, now)
        turn = self._services.followers.turn(now)
        # The first follower's proof spares the others a check.
        self._check_within(turn * self._services.timing.relay_grace_s)

    @property
    def _poll_wait_s(self) -> float:
        return self._services.timing.quiet_wait_s

    async def _before_call(self) -> None:
        await self._services.contact.wait()

    def _on_overdue(self) -> None:
        self._record("store.call_overdue")

    def _after_answer(self, now: float) -> None:
        if self.is_proven:
            self._services.exchange.prove([self.table], now)

    def _after_failure(self) -> None:
        """Need nothing: the connection of this poll alone may have failed."""

    async def _after_change(self, now: float) -> None:
        # Changes of the next moments then come with one answer.
        await asyncio.sleep(self._services.timing.gather_pause_s)

    def _on_news(self, now: float) -> None:
        self._note_return(now)
        super()._on_news(now)

    def _on_contact_lost(self) -> None:
        self._note_loss()
        self._cancel_check()
        self._interrupt()
