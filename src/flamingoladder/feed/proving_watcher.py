"""Watches the table whose polls show whether the store answers."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from flamingoladder.feed.watcher import TableWatcher

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.feed.quiet_watcher import QuietWatcher
    from flamingoladder.feed.reader import TableReader
    from flamingoladder.feed.watcher import FeedServices


class ProvingWatcher(TableWatcher):
    """Watches the table whose short polls prove the store reachable for all tables."""

    __slots__ = ("_answered_at", "_others")

    def __init__(
        self,
        table: str,
        reader: TableReader,
        services: FeedServices,
        others: Sequence[QuietWatcher],
    ) -> None:
        super().__init__(table, reader, services)
        self._others = others
        self._answered_at = -inf

    @property
    def _poll_wait_s(self) -> float:
        """Return no wait unless the store has answered lately, as it may be silent."""
        timing = self._services.timing
        now = asyncio.get_running_loop().time()
        return timing.proof_wait_s if now < self._answered_at + timing.proof_lifetime_s else 0.0

    async def _before_call(self) -> None:
        """Need nothing: this call shows whether the store answers."""

    def _on_overdue(self) -> None:
        self._note_loss()
        self._after_failure()

    def _must_poll(self, now: float) -> bool:
        return self._lost or super()._must_poll(now)

    def _after_answer(self, now: float) -> None:
        self._answered_at = now
        self._services.contact.regain()
        if self.replica.position is not None:
            for watcher in self._others:
                watcher.note_position(self.replica.position, now)
        proven = [watcher.table for watcher in (self, *self._others) if watcher.is_proven]
        self._services.exchange.prove(proven, now)

    def _after_failure(self) -> None:
        self._services.contact.lose()

    async def _after_change(self, now: float) -> None:
        """Need nothing: the proof was sent with the answer."""
