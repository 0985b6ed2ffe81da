"""Tests of what is kept of crashing requests for the loss of all hosts, on injected time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from flamingoladder.poison.at_work import TargetStart
from flamingoladder.poison.detector import MAX_CAUSES
from flamingoladder.poison.detector import PoisonDetector
from flamingoladder.poison.evidence import EVIDENCE_PREFIX
from flamingoladder.poison.evidence import EvidenceKeeper
from flamingoladder.poison.history import RECORD_TTL_S
from flamingoladder.poison.history import Status
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.storage.table import Write
from flamingoladder.timeline.recorder import Recorder
from tests.entry.harness import RecordingPoisonExchange

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from flamingoladder.poison.fingerprints import Fingerprints

# Two requests, of which one runs beside the other at each target.
REQUEST = (11, 12, 13)
BYSTANDER = (1, 2, 3)
# Another caller's request with the same content: it shares the widest fingerprint.
ANOTHER_CALLERS = (11, 22, 23)
GAP_S = 3.0
UNIX_S = 1_800_000_000.0
SETTLED_S = 5.0


class Host:
    """A host without peers that keeps its evidence in ``table``; its clock is off by ``skew_s``."""

    def __init__(self, stored: StoredTable, skew_s: float = 0.0) -> None:
        loop = asyncio.get_running_loop()
        recorder = Recorder("h", "i")
        self.table = MemoryTable(stored)
        self.detector = PoisonDetector(RecordingPoisonExchange(), recorder, loop.time)
        self.keeper = EvidenceKeeper(
            self.detector, self.table, lambda: UNIX_S + skew_s + loop.time(), recorder
        )
        self._task = asyncio.create_task(self.keeper.run())

    @property
    def status(self) -> Status:
        return self.detector.standing(REQUEST, asyncio.get_running_loop().time()).status

    async def crash(self, targets: int) -> None:
        """Let the request end targets one after the other, in failure domains of their own."""
        loop = asyncio.get_running_loop()
        for start in [TargetStart(f"t{n}", 1, f"d{n}") for n in range(targets)]:
            works = [self.detector.begin(of, start, loop.time()) for of in (REQUEST, BYSTANDER)]
            self.detector.answered(works[1], loop.time())
            self.detector.lost(works[0], loop.time())
            self.detector.target_ended(start, loop.time())
            await asyncio.sleep(GAP_S)

    async def lose_domain(self, targets: int) -> None:
        """Let all targets of a failure domain end at once, with the request at work at each."""
        now = asyncio.get_running_loop().time()
        starts = [TargetStart(f"t{n}", 1, "d") for n in range(targets)]
        for start in starts:
            self.detector.lost(self.detector.begin(REQUEST, start, now), now)
        for start in starts:
            self.detector.target_ended(start, now)

    async def answer(self, fingerprints: Fingerprints = REQUEST) -> None:
        """Let a target answer a request."""
        now = asyncio.get_running_loop().time()
        work = self.detector.begin(fingerprints, TargetStart("t9", 1, "d9"), now)
        await asyncio.sleep(1.0)
        self.detector.answered(work, now + 1.0)

    def kill(self) -> None:
        self._task.cancel()


@pytest.mark.parametrize(
    ("crashes", "skew_s", "status"),
    [
        (0, 0.0, Status.FREE),
        (1, 0.0, Status.FREE),
        (2, 0.0, Status.SUSPECT),
        (MAX_CAUSES, 0.0, Status.CONDEMNED),
        (MAX_CAUSES, 6.0, Status.CONDEMNED),
        (MAX_CAUSES, -6.0, Status.CONDEMNED),
        (8, 0.0, Status.CONDEMNED),
    ],
)
def test_a_host_that_starts_alone_knows_what_was_known(
    crashes: int, skew_s: float, status: Status
) -> None:
    """Review, case 10: after a kill of all hosts a request that crashes targets started anew."""

    async def scenario() -> tuple[Status, int]:
        stored = StoredTable()
        first = Host(stored)
        await first.crash(crashes)
        first.kill()
        second = Host(stored, skew_s)
        await second.keeper.restored.wait()
        return second.status, len(stored.read(EVIDENCE_PREFIX).rows)

    found, rows = run_on_injected_time(scenario())
    assert found is status
    assert rows == (crashes >= 2)


@pytest.mark.parametrize(
    "prepare",
    [
        lambda host: host.crash(1),
        lambda host: host.lose_domain(6),
        lambda host: host.answer(),
    ],
    ids=["one_cause", "lost_domain", "nothing"],
)
def test_what_condemns_nothing_costs_no_write(prepare: Callable[[Host], Awaitable[None]]) -> None:
    async def scenario() -> int:
        stored = StoredTable()
        await prepare(Host(stored))
        await asyncio.sleep(SETTLED_S)
        return stored.writes

    assert run_on_injected_time(scenario()) == 0


@pytest.mark.parametrize(
    ("answered", "rows", "status"),
    [(REQUEST, 0, Status.FREE), (ANOTHER_CALLERS, 1, Status.CONDEMNED)],
)
def test_a_later_answer_removes_what_it_clears(
    answered: Fingerprints, rows: int, status: Status
) -> None:
    """An answer to another caller clears the content alone, not the caller's own request."""

    async def scenario() -> tuple[int, Status]:
        stored = StoredTable()
        host = Host(stored)
        await host.crash(MAX_CAUSES)
        await host.answer(answered)
        await asyncio.sleep(SETTLED_S)
        after = Host(stored)
        await after.keeper.restored.wait()
        return len(stored.read(EVIDENCE_PREFIX).rows), after.status

    assert run_on_injected_time(scenario()) == (rows, status)


@pytest.mark.parametrize("lost_answers", [0, 1])
def test_the_store_may_be_away_at_the_write_and_at_the_start(lost_answers: int) -> None:
    async def scenario() -> tuple[Status, Status]:
        stored = StoredTable()
        host = Host(stored)
        await host.keeper.restored.wait()
        host.table.faults.down = not lost_answers
        host.table.faults.lost_answers = lost_answers
        await host.crash(MAX_CAUSES)
        host.table.faults.down = False
        await asyncio.sleep(SETTLED_S)
        host.kill()
        after = Host(stored)
        after.table.faults.down = True
        await asyncio.sleep(SETTLED_S)
        before_return = after.status
        after.table.faults.down = False
        await after.keeper.restored.wait()
        return before_return, after.status

    assert run_on_injected_time(scenario()) == (Status.FREE, Status.CONDEMNED)


@pytest.mark.parametrize("value", [b"", b"no evidence", None], ids=["empty", "foreign", "old"])
def test_useless_rows_are_removed(value: bytes | None) -> None:
    async def scenario() -> tuple[int, Status]:
        stored = StoredTable()
        if value is None:
            host = Host(stored)
            await host.crash(MAX_CAUSES)
            host.kill()
            await asyncio.sleep(RECORD_TTL_S)
        else:
            stored.transact((), [Write(f"{EVIDENCE_PREFIX}00", value)])
        after = Host(stored)
        await asyncio.sleep(SETTLED_S)
        return len(stored.read(EVIDENCE_PREFIX).rows), after.status

    assert run_on_injected_time(scenario()) == (0, Status.FREE)
