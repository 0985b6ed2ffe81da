"""Tests of revision marks, and of how long answers, keys and shutdown rows are kept."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from flamingoladder.ledger.pruner import HORIZON_REFRESH_S
from flamingoladder.ledger.pruner import Pruner
from flamingoladder.ledger.revision_marks import ANSWER_RETENTION_HOURS
from flamingoladder.ledger.revision_marks import KEY_RETENTION_HOURS
from flamingoladder.ledger.revision_marks import RetentionHorizon
from flamingoladder.ledger.revision_marks import RevisionMarks
from flamingoladder.ledger.rows import CLAIMS_PREFIX
from flamingoladder.ledger.rows import TICKETS_PREFIX
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.ledger.fleet import Fleet
from tests.ledger.test_failures import LONG_WAIT_S
from tests.ledger.test_failures import RAN
from tests.ledger.test_failures import UNREACHABLE
from tests.ledger.test_failures import result_of


def _pruner(fleet: Fleet) -> Pruner:
    table = MemoryTable(fleet.stored)
    links = fleet.network.join("pruner", "pruner-1")
    recorder = Recorder("pruner", "pruner-1")
    return Pruner(table, RevisionMarks(table), links, fleet.state, recorder, Random(1))


async def _prune(fleet: Fleet, horizon: RetentionHorizon) -> int:
    pruner = _pruner(fleet)
    return sum([await pruner.prune(prefix, horizon) for prefix in (CLAIMS_PREFIX, TICKETS_PREFIX)])


@pytest.mark.parametrize(
    ("hosts", "hours", "kept"),
    [
        (1, ANSWER_RETENTION_HOURS, True),
        (1, 40, False),
        (7, ANSWER_RETENTION_HOURS, True),
        (7, 40, False),
    ],
)
def test_row_is_not_prunable_before_its_retention_ends(hosts: int, hours: int, kept: bool) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        random = Random(hosts)
        marks = [RevisionMarks(MemoryTable(fleet.stored)) for _ in range(hosts)]
        fleet.stored.transact([], [])
        written_revision = fleet.stored.revision
        horizon = RetentionHorizon(0, 0)
        for minute in range(0, hours * 60, 5):
            horizon = await random.choice(marks).horizon(minute * 60.0)
        assert (written_revision > horizon.answer_revision) == kept
        assert horizon.key_revision == 0

    run_on_injected_time(scenario())


def test_marks_reach_back_for_the_retention_of_keys() -> None:
    async def scenario() -> None:
        marks = RevisionMarks(MemoryTable(Fleet().stored))
        polls = range(0, 2 * KEY_RETENTION_HOURS * 3_600, int(HORIZON_REFRESH_S))
        reached = [now for now in polls if (await marks.horizon(float(now))).key_revision]
        assert KEY_RETENTION_HOURS < reached[0] / 3_600 < 1.2 * KEY_RETENTION_HOURS

    run_on_injected_time(scenario())


def test_key_is_retained_after_its_answer_is_pruned() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        await fleet["a"].send("k")
        await asyncio.sleep(1.0)
        written_revision = fleet.stored.revision
        assert (
            await _prune(fleet, RetentionHorizon(answer_revision=written_revision, key_revision=0))
            == 1
        )
        not_kept = (Verdict.RAN, Reason.ANSWER_NOT_KEPT)
        assert result_of(await fleet["b"].send("k")) == not_kept
        assert (
            await _prune(
                fleet, RetentionHorizon(answer_revision=fleet.stored.revision, key_revision=0)
            )
            == 0
        )
        assert fleet.upstream.runs == {"k": 1}

    run_on_injected_time(scenario())


def test_shutdown_row_is_deleted_with_the_first_pruned_outcome() -> None:
    async def scenario() -> None:
        fleet = Fleet("a", "b")
        ticket = fleet["a"].ledger.issue_ticket("w")
        await fleet["a"].send(ticket)
        assert await fleet["a"].ledger.close(asyncio.get_running_loop().time())
        fleet["a"].kill()
        assert result_of(await fleet["b"].send(ticket, deadline_s=LONG_WAIT_S)) == RAN
        assert (
            await _prune(
                fleet, RetentionHorizon(answer_revision=fleet.stored.revision, key_revision=0)
            )
            == 1
        )
        assert result_of(await fleet["b"].send(ticket, deadline_s=LONG_WAIT_S)) == UNREACHABLE

    run_on_injected_time(scenario())
