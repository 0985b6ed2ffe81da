"""Tests of pruning within the limits of a transaction."""

from __future__ import annotations

from random import Random

import pytest

from flamingoladder.ledger.marks import Horizon
from flamingoladder.ledger.marks import Marks
from flamingoladder.ledger.pruner import Pruner
from flamingoladder.ledger.records import CLAIMS_PREFIX
from flamingoladder.ledger.records import CLOSINGS_PREFIX
from flamingoladder.ledger.records import TICKETS_PREFIX
from flamingoladder.ledger.records import ClaimRow
from flamingoladder.ledger.records import ClaimState
from flamingoladder.ledger.records import ClosingRow
from flamingoladder.ledger.records import closing_name
from flamingoladder.ledger.records import encode
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
def test_a_shard_with_more_rows_than_a_transaction_takes_is_pruned(prefix: str) -> None:
    async def scenario() -> None:
        stored = StoredTable()
        for number in range(ROWS):
            row = ClaimRow(f"h{number}", "i1", 1, "digest", ClaimState.DONE)
            closing = Write(closing_name(row.host, "i1"), encode(ClosingRow(0.0)))
            stored.transact([], [Write(f"{prefix}camp/abc{number:03}", encode(row)), closing])
        table = MemoryTable(stored)
        pruner = Pruner(
            table,
            Marks(table),
            Network(Random(1)).join("h1", "i1"),
            FixedState(agreed({})),
            Recorder("h1", "i1"),
            Random(1),
        )
        horizon = Horizon(stored.revision, stored.revision)
        while await pruner.prune(f"{prefix}camp/abc", horizon):
            continue
        assert stored.read(prefix).rows == ()
        closings = len(stored.read(CLOSINGS_PREFIX).rows)
        assert closings == (0 if prefix == TICKETS_PREFIX else ROWS)

    run_on_injected_time(scenario())
