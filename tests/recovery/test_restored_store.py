"""Real daemons whose store comes back from an older copy."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import SystemRandom
from typing import TYPE_CHECKING

import pytest

from flamingoladder.console.operator_console import Call
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.standins.deployment import LocalDeployment
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.processes import Processes
from flamingoladder.verdict import Verdict
from tests.processes.requests import book
from tests.processes.requests import look
from tests.processes.requests import runs_of

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

EXAMPLE = Path(__file__).parents[2] / "examples" / "tjaldvik.yaml"
WORKSPACE = "midnight-sun"
BOOKINGS = 20
AWAY_S = 2.0
BACK_WITHIN_S = 2.5
USES_A_HOST = 20
SERVED_FRACTION = 0.9


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[LocalDeployment]:
    async with Processes(tmp_path) as processes:
        started = LocalDeployment.from_file(processes, EXAMPLE, SystemRandom())
        await started.start()
        await started.wait_until_serving((await started.grant(WORKSPACE)).key)
        yield started


async def go_back(deployment: LocalDeployment) -> None:
    """Let the store be away, and come back from the kept copy."""
    await deployment.set_faults(FaultSettings(refuse=True))
    await asyncio.sleep(AWAY_S)
    await deployment.restore()
    await deployment.set_faults(FaultSettings())


async def book_all(deployment: LocalDeployment, key: str, shift: int) -> None:
    """Send each booking to one of the hosts."""
    hosts = deployment.hosts
    await asyncio.gather(
        *(book(hosts[(n + shift) % len(hosts)], key, f"b{n}") for n in range(BOOKINGS))
    )


async def served_fraction(deployment: LocalDeployment, *keys: str) -> float:
    """Return the fraction of look-ups, one a host and key, that ran."""
    told = await asyncio.gather(*(look(host, key) for host in deployment.hosts for key in keys))
    return sum(each.verdict is Verdict.RAN for each in told) / len(told)


@pytest.mark.parametrize(("times", "frozen"), [(1, False), (2, True)])
async def test_what_was_promised_by_a_write_holds(
    deployment: LocalDeployment, times: int, *, frozen: bool
) -> None:
    """All hosts refused everything from 3 s after the store's return on, for good."""
    loop = asyncio.get_running_loop()
    sound, doomed = await deployment.grant(WORKSPACE), await deployment.grant(WORKSPACE)
    await deployment.keep_copy()
    late = await deployment.grant(WORKSPACE)
    sleeper = deployment.process_of(deployment.hosts[6].name)
    await book_all(deployment, sound.key, 0)
    if frozen:
        sleeper.freeze()
    await deployment.operate(Call("DELETE", f"/v1/keys/{doomed.key_id}", CommitReport))
    for _ in range(times):
        await go_back(deployment)
    back_at = loop.time()
    if frozen:
        sleeper.thaw()
    uses = [look(host, doomed.key) for host in deployment.hosts for _ in range(USES_A_HOST)]
    told = await asyncio.gather(*uses)
    assert all(each.verdict is Verdict.NOT_RUN for each in told)
    await asyncio.sleep(max(0.0, back_at + BACK_WITHIN_S - loop.time()))
    assert await served_fraction(deployment, sound.key, late.key) >= SERVED_FRACTION
    new = await deployment.grant(WORKSPACE)
    assert await served_fraction(deployment, new.key) >= SERVED_FRACTION
    for shift in range(1, 4):
        await book_all(deployment, sound.key, shift)
    runs = [len(await runs_of(deployment, f"b{n}")) for n in range(BOOKINGS)]
    assert runs == [1] * BOOKINGS
    assert await served_fraction(deployment, doomed.key) == 0
