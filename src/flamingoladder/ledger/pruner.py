"""Deletes old rows of the ledger at a bounded rate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.ledger.entries import ANSWER_NOT_KEPT
from flamingoladder.ledger.exceptions import LedgerRowError
from flamingoladder.ledger.revision_marks import RetentionHorizon
from flamingoladder.ledger.row_reader import TABLE_TIMEOUT_S
from flamingoladder.ledger.rows import CLAIMS_PREFIX
from flamingoladder.ledger.rows import OPEN_WORKSPACE
from flamingoladder.ledger.rows import TICKETS_PREFIX
from flamingoladder.ledger.rows import StoredOutcome
from flamingoladder.ledger.rows import decode_claim
from flamingoladder.ledger.rows import encode
from flamingoladder.ledger.rows import shutdown_row_key
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.table import MAX_TRANSACTION_ROWS
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.ledger.revision_marks import RevisionMarks
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

SHARD_PAUSE_S = 0.5
HORIZON_PAUSE_S = 300.0
SHARD_DIGITS = 3
# Each row may bring a closing row along.
MAX_ROWS = MAX_TRANSACTION_ROWS // 2


class Pruner:
    """Reads shards of the rows at random, all hosts together one every ``SHARD_PAUSE_S``."""

    __slots__ = ("_links", "_marks", "_random", "_recorder", "_state", "_table")

    def __init__(
        self,
        table: TableService,
        marks: RevisionMarks,
        links: PeerLinks,
        state: StateInForce,
        recorder: Recorder,
        random: Random,
    ) -> None:
        self._table = table
        self._marks = marks
        self._links = links
        self._state = state
        self._recorder = recorder
        self._random = random

    async def serve(self) -> None:
        """Prune for as long as the host runs."""
        loop = asyncio.get_running_loop()
        while True:
            horizon = await self._horizon(loop.time())
            if horizon.answers == 0:
                await asyncio.sleep(HORIZON_PAUSE_S)
                continue
            until = loop.time() + HORIZON_PAUSE_S
            while loop.time() < until:
                await asyncio.sleep(SHARD_PAUSE_S * (1 + len(self._links.hosts)))
                await self._pruned(self._shard(), horizon)

    async def prune(self, prefix: str, horizon: RetentionHorizon) -> int:
        """Prune up to ``MAX_ROWS`` old rows under ``prefix`` in one transaction.

        A caller's own key outlives its answer: its row is deleted only with ``horizon.keys``. With
        the outcome of a ticket goes its issuer's closing row, which states that all outcomes are
        there: guard ``closing_pruned_with_outcomes``. Return the number of rows pruned.

        :raises PlatformError: if the table did not answer.
        """
        rows = await self._table.read(prefix, TABLE_TIMEOUT_S)
        pruned = [(row, _pruned_value(row, horizon)) for row in rows.rows]
        changed = [(row, value) for row, value in pruned if value != row.value][:MAX_ROWS]
        if not changed:
            return 0
        conditions = [Condition(row.key, row.revision) for row, _ in changed]
        writes = [Write(row.key, value) for row, value in changed]
        closings = [Write(name, None) for name in _closings([row for row, _ in changed])]
        commit = await self._table.transact(conditions, writes + closings, TABLE_TIMEOUT_S)
        return len(changed) if commit.committed else 0

    async def _horizon(self, now: float) -> RetentionHorizon:
        try:
            return await self._marks.horizon(now)
        except PlatformError:
            return RetentionHorizon(0, 0)

    async def _pruned(self, prefix: str, horizon: RetentionHorizon) -> None:
        try:
            rows = await self.prune(prefix, horizon)
        except (LedgerRowError, PlatformError) as error:
            self._recorder.record("ledger.prune_failed", error=error)
            return
        if rows:
            self._recorder.record("ledger.pruned", rows=rows, revision=horizon.answers)

    def _shard(self) -> str:
        state = self._state.current
        workspaces = [OPEN_WORKSPACE, *(state.deployment.workspaces if state else ())]
        digits = f"{self._random.randrange(16**SHARD_DIGITS):0{SHARD_DIGITS}x}"
        prefix = self._random.choice((CLAIMS_PREFIX, TICKETS_PREFIX))
        return f"{prefix}{self._random.choice(workspaces)}/{digits}"


def _pruned_value(row: Row, horizon: RetentionHorizon) -> bytes | None:
    """Return the row's value after pruning, or None if the row is deleted."""
    is_ticket = row.key.startswith(TICKETS_PREFIX)
    if row.revision <= (horizon.answers if is_ticket else horizon.keys):
        return None
    if row.revision > horizon.answers:
        return row.value
    claim = decode_claim(row.value)
    if claim.outcome is None or claim.outcome.refusal is not None:
        return row.value
    return encode(msgspec.structs.replace(claim, outcome=StoredOutcome(refusal=ANSWER_NOT_KEPT)))


def _closings(rows: Collection[Row]) -> list[str]:
    tickets = [row for row in rows if row.key.startswith(TICKETS_PREFIX)]
    outcomes = [decode_claim(row.value) for row in tickets]
    return sorted({shutdown_row_key(outcome.host, outcome.incarnation) for outcome in outcomes})
