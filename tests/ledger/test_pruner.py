"""Tests of pruning within the table's limit of rows per transaction."""

from __future__ import annotations

from random import Random

import pytest

from flamingoladder.ledger.pruner import Pruner
from flamingoladder.ledger.revision_marks import RetentionHorizon
from flamingoladder.ledger.revision_marks import RevisionMarks
from flamingoladder.ledger.rows import CLAIMS_PREFIX
from flamingoladder.ledger.rows import SHUTDOWNS_PREFIX
from flamingoladder.ledger.rows import TICKETS_PREFIX
from flamingoladder.ledger.rows import ClaimRow
from flamingoladder.ledger.rows import ClaimState
from flamingoladder.ledger.rows import ShutdownRow
from flamingoladder.ledger.rows import encode
from flamingoladder.ledger.rows import shutdown_row_key
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.network import Network
from flamingoladder.storage.table import MAX_TRANSACTION_ROWS
from flamingoladder.storage.table import Write
from flamingoladder.timeline.recorder import Recorder
from tests.gateway.states import FixedState
from tests.gateway.states import agreed

ROWS = 2 * MAX_TRANSACTION_ROWS + 1


@pytest.mark.parametrize("prefix", [CLAIMS_PREFIX, TICKETS_PREFIX])
def test_shard_with_more_rows_than_a_transaction_allows_is_pruned(prefix: str) -> None:
    async def scenario() -> None:
        stored = StoredTable()
        for number in range(ROWS):
            row = ClaimRow(f"h{number}", "i1", 1, "digest", ClaimState.DONE)
            shutdown = Write(shutdown_row_key(row.host, "i1"), encode(ShutdownRow(0.0)))
            stored.transact([], [Write(f"{prefix}camp/abc{number:03}", encode(row)), shutdown])
        pruner = _pruner(stored)
        horizon = RetentionHorizon(stored.revision, stored.revision)
        while await pruner.prune(f"{prefix}camp/abc", horizon):
            continue
        assert stored.read(prefix).rows == ()
        shutdowns = len(stored.read(SHUTDOWNS_PREFIX).rows)
        assert shutdowns == (0 if prefix == TICKETS_PREFIX else ROWS)

    run_on_injected_time(scenario())


@pytest.mark.parametrize("prefix", [CLAIMS_PREFIX, TICKETS_PREFIX])
@pytest.mark.parametrize(("is_old", "kept"), [(True, []), (False, [b"\xff"])])
def test_a_row_that_cannot_be_read_keeps_no_other_from_being_pruned(
    prefix: str, is_old: bool, kept: list[bytes]
) -> None:
    """No row of its shard was ever pruned."""

    async def scenario() -> None:
        stored = StoredTable()
        old = encode(ClaimRow("h1", "i1", 1, "digest", ClaimState.DONE))
        stored.transact([], [Write(f"{prefix}camp/abc1", old)])
        old_revision = stored.revision
        stored.transact([], [Write(f"{prefix}camp/abc2", b"\xff")])
        key_revision = stored.revision if is_old else old_revision
        answer_revision = stored.revision if prefix == CLAIMS_PREFIX else key_revision
        horizon = RetentionHorizon(answer_revision, key_revision)
        assert await _pruner(stored).prune(f"{prefix}camp/abc", horizon) > 0
        assert [row.value for row in stored.read(prefix).rows] == kept

    run_on_injected_time(scenario())


def _pruner(stored: StoredTable) -> Pruner:
    table = MemoryTable(stored)
    return Pruner(
        table,
        RevisionMarks(table),
        Network(Random(1)).join("h1", "i1"),
        FixedState(agreed({})),
        Recorder("h1", "i1"),
        Random(1),
    )
