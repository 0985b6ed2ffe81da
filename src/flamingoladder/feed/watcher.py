"""Keeps this host's copy of one table up to date through troubles of the store and of hosts."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from functools import partial
from typing import TYPE_CHECKING
from typing import TypeVar

from flamingoladder.feed.overlapping import OverlappingCalls
from flamingoladder.feed.replica import START
from flamingoladder.feed.replica import TableReplica
from flamingoladder.storage.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from flamingoladder.feed.contact import StoreContact
    from flamingoladder.feed.exchange import FeedExchange
    from flamingoladder.feed.followers import FollowerSelection
    from flamingoladder.feed.reader import TableReader
    from flamingoladder.feed.timing import FeedTiming
    from flamingoladder.storage.feed import StoredRows
    from flamingoladder.storage.feed import StorePosition
    from flamingoladder.storage.feed import TableFeed
    from flamingoladder.timeline.recorder import Recorder

FIRST_PAUSE_S = 0.1
MIN_SLEEP_S = 0.001
# An answer that is this late may never come.
OVERDUE_S = 0.4
# Rows that an event names at most.
MAX_NAMED_ROWS = 8

T = TypeVar("T")


class FeedServices:
    """What the watchers of all tables of a host share."""

    __slots__ = ("contact", "exchange", "followers", "recorder", "store", "timing")

    def __init__(
        self,
        store: TableFeed,
        exchange: FeedExchange,
        followers: FollowerSelection,
        contact: StoreContact,
        timing: FeedTiming,
        recorder: Recorder,
    ) -> None:
        self.store = store
        self.exchange = exchange
        self.followers = followers
        self.contact = contact
        self.timing = timing
        self.recorder = recorder


class TableWatcher(ABC):
    """Reads a table whole, then polls its changes or gets them from a follower."""

    __slots__ = (
        "_asked_wait_s",
        "_check",
        "_interruptible",
        "_lost",
        "_pause_s",
        "_reader",
        "_services",
        "replica",
        "table",
    )

    def __init__(self, table: str, reader: TableReader, services: FeedServices) -> None:
        self.table = table
        self.replica = TableReplica(reader, services.timing.rewrite_grace_s)
        self._reader = reader
        self._services = services
        self._asked_wait_s: float | None = None
        self._check: asyncio.Task[None] | None = None
        self._interruptible: asyncio.Timeout | None = None
        self._lost = False
        self._pause_s = 0.0
        services.exchange.attach(table, self.replica, self._on_news)

    @property
    def is_proven(self) -> bool:
        """Return whether the copy has all changes that are known to have been made."""
        return not self._lost and self.replica.position is not None and self.replica.claim is None

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        try:
            while True:
                await self._attempt(asyncio.get_running_loop().time())
        finally:
            self._cancel_check()

    async def _attempt(self, now: float) -> None:
        try:
            await self._step(now)
            self._pause_s = 0.0
        except HistoryLostError as error:
            self._record("store.history_lost", error=error)
            self._cancel_check()
            self.replica.forget()
        except PlatformError as error:
            await self._retry_later(error)

    @property
    @abstractmethod
    def _poll_wait_s(self) -> float:
        """Return how long the store waits for a change before it answers a poll, in seconds."""

    @abstractmethod
    async def _before_call(self) -> None:
        """Wait until a call to the store makes sense."""

    @abstractmethod
    def _on_overdue(self) -> None:
        """React to a call that the store should have answered by now."""

    @abstractmethod
    def _after_answer(self, now: float) -> None:
        """React to an answer of the store."""

    @abstractmethod
    def _after_failure(self) -> None:
        """React to a failed call."""

    @abstractmethod
    async def _after_change(self, now: float) -> None:
        """React to an answer that changed the copy."""

    def _must_poll(self, now: float) -> bool:
        return self._services.followers.must_poll(self.table, now)

    async def _step(self, now: float) -> None:
        if self.replica.position is None:
            await self._read_all()
        elif self.replica.is_overdue(now, self._services.timing.relay_grace_s):
            await self._poll(0.0)
        elif not self._must_poll(now):
            expires_at = self._services.followers.proof_expires_at(self.table)
            await self._interrupted(asyncio.sleep(max(MIN_SLEEP_S, expires_at - now)))
        elif self._lost or self.replica.claim is not None:
            # A poll that waits in vain looks like one that is lost.
            await self._poll(0.0)
        else:
            await self._poll(self._poll_wait_s)

    async def _read_all(self) -> None:
        await self._before_call()
        found = await self._services.store.read_all(self.table)
        self.replica.require_recent(found.position)
        now = asyncio.get_running_loop().time()
        self._note_return(now)
        era_before = self.replica.era
        self.replica.replace(found, now)
        if era_before is not None and era_before < found.position.era:
            self._after_going_back(era_before)
        self._after_answer(now)

    async def _poll(self, wait_s: float) -> None:
        claim = self.replica.claim
        self._asked_wait_s = wait_s
        try:
            found = await self._interrupted(self._changes(wait_s))
        finally:
            self._asked_wait_s = None
        if found is None:
            return
        now = asyncio.get_running_loop().time()
        if self._take(found, claim, now):
            await self._after_change(now)

    async def _check_beside_poll(self) -> None:
        """Ask for an answer at once; the poll that waits goes on unless it proves to be lost."""
        claim = self.replica.claim
        try:
            found = await self._changes(0.0)
        except PlatformError as error:
            self._record("store.check_failed", error=error)
            self._interrupt()
            return
        if self._take(found, claim, asyncio.get_running_loop().time()):
            self._record("store.poll_lost", rows=len(found.rows))
            self._interrupt()

    def _take(self, found: StoredRows, claim: StorePosition | None, now: float) -> bool:
        """Take in an answer to a call that was made knowing ``claim``; return if it has news."""
        self._note_return(now)
        changes = self.replica.take(found, now)
        self.replica.settle(claim)
        if changes is not None:
            self._services.exchange.relay(self.table, changes, now)
        self._after_answer(now)
        return changes is not None

    async def _changes(self, wait_s: float) -> StoredRows:
        await self._before_call()
        interval_s = self._services.timing.max_retry_pause_s
        calls = OverlappingCalls(partial(self._follow, 0.0), interval_s, self._on_overdue)
        return await calls.first_answer(self._follow(wait_s), wait_s + OVERDUE_S)

    async def _follow(self, wait_s: float) -> StoredRows:
        return await self._services.store.follow(self.table, self.replica.position or START, wait_s)

    async def _interrupted(self, work: Awaitable[T]) -> T | None:
        """Return the result of ``work``, or None if ``_interrupt`` cancelled it."""
        try:
            async with asyncio.timeout(None) as self._interruptible:
                return await work
        except TimeoutError:
            return None
        finally:
            self._interruptible = None

    def _interrupt(self) -> None:
        if self._interruptible is not None and not self._interruptible.expired():
            self._interruptible.reschedule(asyncio.get_running_loop().time())

    def _on_news(self, now: float) -> None:
        """React to another host's changes or proof, at ``now`` in monotonic seconds."""
        self._check_within(self._services.timing.relay_grace_s)

    def _check_within(self, grace_s: float) -> None:
        if self.replica.claim is not None:
            asyncio.get_running_loop().call_later(grace_s + MIN_SLEEP_S, self._check_if_overdue)

    def _check_if_overdue(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self.replica.is_overdue(now, self._services.timing.relay_grace_s):
            return
        if self._asked_wait_s is None:
            self._interrupt()
        elif self._asked_wait_s > 0.0 and self._check is None:
            self._check = asyncio.create_task(self._check_beside_poll())
            self._check.add_done_callback(self._on_check_done)

    def _on_check_done(self, check: asyncio.Task[None]) -> None:
        if self._check is check:
            self._check = None
        if not check.cancelled() and check.exception() is not None:
            self._record("task.failed", task=f"check of {self.table}", error=check.exception())

    def _cancel_check(self) -> None:
        if self._check is not None:
            self._check.cancel()

    def _note_loss(self) -> None:
        if not self._lost:
            self._record("store.lost")
        self._lost = True

    def _note_return(self, now: float) -> None:
        if self._lost:
            self._record("store.regained")
            self._reader.regained(now)
        self._lost = False

    def _after_going_back(self, era_before: int) -> None:
        rows = self.replica.rows
        withheld = ",".join(sorted(rows.withheld_by_key)[:MAX_NAMED_ROWS])
        self._record("store.went_back", era_before=era_before, withheld=withheld)
        loop = asyncio.get_running_loop()
        loop.call_at(rows.withheld_until, self._release, rows.withheld_until)

    def _release(self, withheld_until: float) -> None:
        rows = self.replica.rows
        if rows.withheld_until > withheld_until or not rows.withheld_by_key:
            return
        taken = ",".join(sorted(rows.withheld_by_key)[:MAX_NAMED_ROWS])
        self._record("store.not_rewritten", taken=taken)
        rows.release(withheld_until)

    async def _retry_later(self, error: PlatformError) -> None:
        self._note_loss()
        self._after_failure()
        longest_s = self._services.timing.max_retry_pause_s
        self._pause_s = min(longest_s, self._pause_s * 2) or FIRST_PAUSE_S
        self._record("store.call_failed", retry_s=round(self._pause_s, 3), error=error)
        await asyncio.sleep(self._pause_s)

    def _record(self, kind: str, **fields: object) -> None:
        version = None if self.replica.position is None else self.replica.position.version
        self._services.recorder.record(
            kind, table=self.table, version=version, era=self.replica.era, **fields
        )
