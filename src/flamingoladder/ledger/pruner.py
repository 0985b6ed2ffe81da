"""Deletion of old rows of the ledger at a bounded rate."""

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
    from flamingoladder.ledger.rows import ClaimRow
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

SHARD_INTERVAL_S = 0.5
HORIZON_REFRESH_S = 300.0
# A shard is the rows of a workspace whose hashed keys start with the same hex digits.
SHARD_HEX_DIGITS = 3
# A pruned ticket row may add its issuer's shutdown row to the same transaction.
MAX_PRUNED_ROWS = MAX_TRANSACTION_ROWS // 2


class Pruner:
    """Prunes random shards of the rows; all hosts together read one per ``SHARD_INTERVAL_S``."""

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
            if horizon.answer_revision == 0:
                await asyncio.sleep(HORIZON_REFRESH_S)
                continue
            refresh_at = loop.time() + HORIZON_REFRESH_S
            while loop.time() < refresh_at:
                await asyncio.sleep(SHARD_INTERVAL_S * (1 + len(self._links.hosts)))
                await self._prune_shard(self._random_shard(), horizon)

    async def prune(self, prefix: str, horizon: RetentionHorizon) -> int:
        """Prune up to ``MAX_PRUNED_ROWS`` old rows under ``prefix`` in one transaction.

        A caller's own key is kept longer than its answer: its row is deleted only once it is at or
        before ``horizon.key_revision``. The outcome of a ticket is deleted together with its
        issuer's shutdown row, which states that all outcomes are in the table. Return the number of
        rows pruned. Model guard ``closing_pruned_with_outcomes``.

        :raises PlatformError: if the table did not answer.
        """
        rows = await self._table.read(prefix, TABLE_TIMEOUT_S)
        pruned = [(row, _pruned_value(row, horizon)) for row in rows.rows]
        changed = [(row, value) for row, value in pruned if value != row.value][:MAX_PRUNED_ROWS]
        if not changed:
            return 0
        conditions = [Condition(row.key, row.revision) for row, _ in changed]
        writes = [Write(row.key, value) for row, value in changed]
        shutdowns = [Write(key, None) for key in _shutdown_row_keys([row for row, _ in changed])]
        commit = await self._table.transact(conditions, writes + shutdowns, TABLE_TIMEOUT_S)
        return len(changed) if commit.committed else 0

    async def _horizon(self, now: float) -> RetentionHorizon:
        try:
            return await self._marks.horizon(now)
        except PlatformError:
            return RetentionHorizon(0, 0)

    async def _prune_shard(self, prefix: str, horizon: RetentionHorizon) -> None:
        try:
            row_count = await self.prune(prefix, horizon)
        except PlatformError as error:
            self._recorder.record("ledger.prune_failed", error=error)
            return
        if row_count:
            self._recorder.record("ledger.pruned", rows=row_count, revision=horizon.answer_revision)

    def _random_shard(self) -> str:
        state = self._state.current
        workspaces = [OPEN_WORKSPACE, *(state.deployment.workspaces if state else ())]
        digits = f"{self._random.randrange(16**SHARD_HEX_DIGITS):0{SHARD_HEX_DIGITS}x}"
        prefix = self._random.choice((CLAIMS_PREFIX, TICKETS_PREFIX))
        return f"{prefix}{self._random.choice(workspaces)}/{digits}"


def _pruned_value(row: Row, horizon: RetentionHorizon) -> bytes | None:
    """Return the row's value after pruning, or None if the row is deleted."""
    is_ticket = row.key.startswith(TICKETS_PREFIX)
    if row.revision <= (horizon.answer_revision if is_ticket else horizon.key_revision):
        return None
    if row.revision > horizon.answer_revision:
        return row.value
    claim = _claim_in(row)
    if claim is None or claim.outcome is None or claim.outcome.refusal is not None:
        return row.value
    return encode(msgspec.structs.replace(claim, outcome=StoredOutcome(refusal=ANSWER_NOT_KEPT)))


def _shutdown_row_keys(rows: Collection[Row]) -> list[str]:
    tickets = [row for row in rows if row.key.startswith(TICKETS_PREFIX)]
    claims = [claim for row in tickets if (claim := _claim_in(row)) is not None]
    return sorted({shutdown_row_key(claim.host, claim.incarnation) for claim in claims})


def _claim_in(row: Row) -> ClaimRow | None:
    """Return the claim in a row, or None if it can't be read."""
    try:
        return decode_claim(row.value)
    except LedgerRowError:
        return None
