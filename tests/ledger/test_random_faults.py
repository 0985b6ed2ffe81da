"""Seeded random test of concurrent callers, repeats and faults that checks every answer."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING

import pytest

from flamingoladder.ledger.era_recovery import MAX_LOST_S
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.verdict import Verdict
from tests.ledger.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from flamingoladder.standins.memory import StoredTableCopy
    from flamingoladder.verdict import Outcome

BOOKINGS = 25
STEPS = 5
FAULTS = 60
CALLER_TIMEOUT_S = 10.0
MAX_AGE_S = 10.0
# These seeds reproduced a not_run for a repeat that joined an abandoned fresh claim, although the
# key had run elsewhere.
REGRESSION_SEEDS = (1160, 1311, 1529, 1750)
HOSTS = ("a", "b", "c")


class Caller:
    """Makes one booking: repeats it, abandons it, queries its outcome, or switches to a ticket."""

    __slots__ = ("closed", "fleet", "in_doubt", "key", "keys", "name", "random", "sent")

    def __init__(self, fleet: Fleet, name: str, random: Random) -> None:
        self.fleet = fleet
        self.name = name
        self.random = random
        self.key = name if random.random() < 0.5 else fleet["a"].ledger.issue_ticket("w")
        self.keys = [self.key]
        self.in_doubt = False
        self.closed: set[str] = set()
        self.sent = 0

    async def book(self) -> None:
        """Send or query the booking ``STEPS`` times, with random pauses."""
        await asyncio.sleep(self.random.uniform(0.0, 30.0))
        for _ in range(STEPS):
            if self.random.random() < 0.2:
                await self._query_outcome()
            else:
                await self._send()
            await asyncio.sleep(self.random.choice((0.0, 0.01, 0.5, 5.0)))

    async def _send(self) -> None:
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        host = self.fleet.by_name[self.random.choice(HOSTS)]
        fresh = not self.in_doubt
        self.in_doubt = True
        sending = host.send(
            self.key,
            fresh=fresh,
            deadline_s=self.random.choice((0.2, 1.0, 3.0)),
            request_id=request_id,
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(self.random.choice((0.01, 0.1, CALLER_TIMEOUT_S))):
                self._check(await sending, request_id, fresh=fresh)

    async def _query_outcome(self) -> None:
        query = self.fleet.by_name[self.random.choice(HOSTS)].ledger.outcome_of("w", self.key)
        try:
            outcome = await asyncio.wait_for(query, CALLER_TIMEOUT_S)
        except TimeoutError:
            return
        if outcome.is_ok() or outcome.error.verdict is not Verdict.NOT_RUN:
            return
        assert self.fleet.upstream.runs[self.key] == 0
        self.closed.add(self.key)

    def _check(self, outcome: Outcome, request_id: str, *, fresh: bool) -> None:
        upstream = self.fleet.upstream
        if outcome.is_ok():
            assert outcome.ok.body.decode() == f"{self.key} run 1"
            return
        if outcome.error.verdict is not Verdict.NOT_RUN:
            return
        assert upstream.runs[self.key] == 0
        assert request_id not in upstream.request_ids
        self.in_doubt = not fresh
        if outcome.error.ticket and fresh:
            self.key = outcome.error.ticket
            self.keys.append(self.key)


async def _cause_faults(fleet: Fleet, random: Random) -> None:
    for _ in range(FAULTS):
        await asyncio.sleep(random.uniform(0.0, 1.2))
        host = fleet.by_name[random.choice(HOSTS)]
        match random.randrange(8):
            case 0:
                host.faults.down = not host.faults.down
            case 1:
                host.faults.lost_answers = random.randrange(4)
            case 2:
                host.faults.delay_s = random.choice((0.005, 0.055, 0.2))
            case 3:
                host.freeze()
                await asyncio.sleep(random.choice((0.05, 1.0, 4.0)))
                host.thaw()
            case 4:
                host.kill()
                fleet.restart(host.member.host)
            case 5:
                await host.ledger.close(asyncio.get_running_loop().time())
                host.kill()
                fleet.restart(host.member.host)
            case 6:
                fleet.network.loss = random.choice((0.0, 0.1, 0.5))
            case 7:
                fleet.upstream.refusals_left = random.randrange(4)
                fleet.upstream.crashes = random.random() < 0.2


async def _let_the_store_go_back(fleet: Fleet, random: Random) -> None:
    """Cause the faults that leave every holder of a claim alive, and come back from old copies."""
    copies: list[tuple[float, StoredTableCopy]] = []
    for _ in range(FAULTS):
        now = asyncio.get_running_loop().time()
        copies.append((now, fleet.stored.copy()))
        await asyncio.sleep(random.uniform(0.0, 1.2))
        host = fleet.by_name[random.choice(HOSTS)]
        match random.randrange(7):
            case 0:
                host.faults.down = True
                await asyncio.sleep(random.uniform(0.1, 4.0))
                host.faults.down = False
            case 1:
                host.faults.lost_answers = random.randrange(4)
            case 2:
                host.faults.delay_s = random.choice((0.005, 0.055, 0.2))
            case 3:
                host.freeze()
                await asyncio.sleep(random.choice((0.05, 1.0, 4.0)))
                host.thaw()
            case 4:
                fleet.network.loss = random.choice((0.0, 0.1, 0.3))
            case _:
                now = asyncio.get_running_loop().time()
                recent = [copy for at, copy in copies if now - at <= MAX_AGE_S]
                if recent:
                    fleet.stored.restore(random.choice(recent))


async def _book_during(fleet: Fleet, random: Random, faults: Coroutine[None, None, None]) -> None:
    """Let all callers book during the faults, and check what ran."""
    callers = [Caller(fleet, f"k{number}", random) for number in range(BOOKINGS)]
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(faults)
        for caller in callers:
            tasks.create_task(caller.book())
    await asyncio.sleep(30.0)
    for caller in callers:
        runs = sum(fleet.upstream.runs[key] for key in caller.keys)
        assert runs <= 1
        assert not any(fleet.upstream.runs[key] for key in caller.closed)
    assert fleet.upstream.runs


@pytest.mark.parametrize("seed", range(20))
def test_every_booking_runs_at_most_once_if_the_store_comes_back_from_older_copies(
    seed: int,
) -> None:
    async def scenario() -> None:
        random = Random(seed)
        fleet = Fleet(*HOSTS, seed=seed)
        await asyncio.sleep(MAX_LOST_S + 1.0)
        await _book_during(fleet, random, _let_the_store_go_back(fleet, random))

    run_on_injected_time(scenario())


@pytest.mark.parametrize("seed", [*range(30), *REGRESSION_SEEDS])
def test_every_booking_runs_at_most_once_and_not_run_is_never_false(seed: int) -> None:
    print(f"seed {seed}")

    async def scenario() -> None:
        random = Random(seed)
        fleet = Fleet(*HOSTS, seed=seed)
        await _book_during(fleet, random, _cause_faults(fleet, random))

    run_on_injected_time(scenario())
