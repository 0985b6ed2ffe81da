"""Writes this host's rows again in a new era of the store, and tells when an absent row is free."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger.messages import EraQuery
from flamingoladder.ledger.messages import EraReply
from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import MARKS_KEY
from flamingoladder.ledger.rows import ClaimState
from flamingoladder.ledger.rows import decode_claim
from flamingoladder.ledger.rows import encode
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.rows import ClaimRow
    from flamingoladder.ledger.written_rows import WrittenRows
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

CHECK_INTERVAL_S = 0.125
QUERY_TIMEOUT_S = 0.5
# The store keeps no more than this of its history, and goes back by less.
MAX_LOST_S = 20.0
# A key whose holder died with the lost rows stays in doubt for so long.
MAX_DOUBT_S = 30.0


class EraRecovery:
    """Recovers the ledger's rows after the store came back from an older copy.

    Until all registered hosts have written theirs again, an absent row does not mean that its key
    is free. Revisions are given out again, so a host that does not know of the era may overwrite
    what is restored: rows are written again when more hosts know of it, and for good once all do.
    Model guard ``all_know_the_era``. A host counts only if it has run since before the seconds
    that the store may have lost. After ``MAX_DOUBT_S`` without the word of all, absent rows are
    free again.
    """

    __slots__ = (
        "_doubt_ends_at",
        "_doubted_era",
        "_entries",
        "_knowing",
        "_links",
        "_recorder",
        "_remembers",
        "_restored_era",
        "_settled_era",
        "_started",
        "_started_at",
        "_state",
        "_table",
        "_told_era",
        "_written_era",
        "_written_rows",
    )

    def __init__(
        self,
        table: TableService,
        entries: Entries,
        written_rows: WrittenRows,
        links: PeerLinks,
        state: StateInForce,
        recorder: Recorder,
    ) -> None:
        self._table = table
        self._entries = entries
        self._written_rows = written_rows
        self._links = links
        self._state = state
        self._recorder = recorder
        self._started_at = asyncio.get_running_loop().time()
        self._written_era = 0
        # How many other hosts knew of the written era when its rows were written last.
        self._knowing = 0
        self._restored_era = 0
        self._settled_era: int | None = None
        self._told_era = 0
        # Whether no earlier incarnation can have written what the store lost with the last era.
        self._remembers = False
        self._started = asyncio.Event()
        self._doubted_era = 0
        self._doubt_ends_at = 0.0
        links.register(EraQuery, self._reply)

    @property
    def is_in_doubt(self) -> bool:
        """Return whether an absent row may be one that the store lost."""
        return self._settled_era not in {None, self._table.era}

    @property
    def is_restored(self) -> bool:
        """Return whether this host's rows are in the store, as far as it knows."""
        return self._settled_era is None or self._written_era == self._table.era

    async def serve(self) -> None:
        """Recover each new era, for as long as the host runs."""
        while True:
            if self._table.era < self._told_era:
                await self._read_era()
            elif self._settled_era is None:
                await self._start()
            elif self.is_in_doubt:
                await self._recover(self._table.era)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def wait_until_started(self, deadline: float) -> None:
        """Wait until it is known whether other hosts recover the first era of this host.

        :raises PlatformUnavailableError: if that is not known at ``deadline`` (monotonic seconds).
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self._started.wait()
        except TimeoutError as error:
            raise PlatformUnavailableError("the store's era is not known") from error

    async def _read_era(self) -> bool:
        """Let the table learn its era from an answer; return whether there was one."""
        try:
            await self._table.get(MARKS_KEY, TABLE_TIMEOUT_S)
        except PlatformError as error:
            self._recorder.record("ledger.era_unknown", error=error)
            return False
        return True

    async def _start(self) -> None:
        """Take the first era for settled, unless another host still recovers it."""
        if self._state.current is None or not await self._read_era():
            return
        era = self._table.era
        replies = [reply for reply in await self._ask_others(era) if reply is not None]
        recovers = any(0 < reply.settled_era < era for reply in replies)
        self._written_era = self._restored_era = era
        self._settled_era = era - 1 if recovers else era
        self._started.set()

    async def _recover(self, era: int) -> None:
        now = asyncio.get_running_loop().time()
        if self._doubted_era != era:
            self._doubted_era = era
            self._doubt_ends_at = now + MAX_DOUBT_S
            self._remembers = now - self._started_at >= MAX_LOST_S
        if self._restored_era != era:
            await self._restore(era)
        settled = self._restored_era == era and await self._have_all_restored(era)
        if not settled and (self._written_era != era or now < self._doubt_ends_at):
            return
        self._recorder.record("ledger.era_settled", era=era, all_restored=settled)
        self._settled_era = era

    async def _restore(self, era: int) -> None:
        """Write the lost rows again if more hosts know of the era than when that was done last."""
        replies = await self._ask_others(era)
        knowing = sum(reply is not None and reply.known_era >= era for reply in replies)
        if self._written_era == era and knowing <= self._knowing:
            return
        if not await self._restore_rows(era):
            return
        self._written_era, self._knowing = era, knowing
        if knowing == len(replies):
            self._restored_era = era

    async def _restore_rows(self, era: int) -> bool:
        """Write the rows of this host that the store has lost; return whether that succeeded."""
        row_keys = self._written_rows.keys(asyncio.get_running_loop().time())
        restored = 0
        try:
            for row_key in row_keys:
                restored += await self._restore_row(row_key)
        except PlatformError as error:
            self._recorder.record("ledger.not_restored", era=era, rows=len(row_keys), error=error)
            return False
        if self._table.era != era:
            return False
        self._recorder.record("ledger.restored", era=era, rows=len(row_keys), lost=restored)
        return True

    async def _restore_row(self, row_key: str) -> bool:
        """Write the row unless the store has it or a later one; return whether it was lost."""
        while True:
            found = await self._table.get(row_key, TABLE_TIMEOUT_S)
            row = self._written_rows.get(row_key)
            if row is None or not self._still_holds(row_key, row):
                return False
            if found is not None and not _precedes(decode_claim(found.value), row):
                return False
            condition = Condition(row_key, 0 if found is None else found.revision)
            write = Write(row_key, encode(row))
            commit = await self._table.transact([condition], [write], TABLE_TIMEOUT_S)
            if commit.committed:
                return True

    def _still_holds(self, row_key: str, row: ClaimRow) -> bool:
        """Return whether the row is not a claim that this host has given up."""
        if row.state is not ClaimState.CLAIMED:
            return True
        entry = self._entries.by_row_key.get(row_key)
        return entry is not None and entry.attempt == row.attempt and entry.in_progress

    async def _have_all_restored(self, era: int) -> bool:
        replies = await self._ask_others(era)
        settled = any(reply is not None and reply.settled_era >= era for reply in replies)
        return settled or (
            self._remembers
            and all(
                reply is not None and reply.restored_era >= era and reply.remembers
                for reply in replies
            )
        )

    async def _ask_others(self, era: int) -> list[EraReply | None]:
        state = self._state.current
        hosts = () if state is None else state.members_by_host
        others = [host for host in hosts if host != self._recorder.host]
        replies = await asyncio.gather(
            *(self._links.request(host, EraQuery(era), QUERY_TIMEOUT_S) for host in others)
        )
        return [reply if isinstance(reply, EraReply) else None for reply in replies]

    async def _reply(self, _peer: Peer, query: EraQuery) -> EraReply:
        self._told_era = max(self._told_era, query.era)
        return EraReply(
            self._restored_era, self._settled_era or 0, self._remembers, self._table.era
        )


def _precedes(found: ClaimRow, own: ClaimRow) -> bool:
    """Return whether the own row replaces the one found: what ran counts most, then what is closed.

    Rows that others wrote when this one was absent are claims that are not dispatched, and closed
    keys that nobody was told of, as that was in doubt.
    """
    if found.state is ClaimState.DONE:
        return False
    holder = (found.host, found.incarnation, found.attempt)
    is_same = (*holder, found.state) == (own.host, own.incarnation, own.attempt, own.state)
    return not is_same and (own.state is not ClaimState.CLOSED or found.state is ClaimState.CLAIMED)
