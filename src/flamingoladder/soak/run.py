"""Runs a soak: hosts, callers and overlapping faults for some seconds, then the checks."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from flamingoladder.soak.callers import Callers
from flamingoladder.soak.deployment import SoakDeployment
from flamingoladder.soak.fault_kinds import ALL_FAULTS
from flamingoladder.soak.faults import FaultContext
from flamingoladder.soak.history import History
from flamingoladder.soak.promises import Checks
from flamingoladder.soak.report import SoakReport

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from flamingoladder.soak.faults import Fault

TARGETS_PER_SERVICE = 5
CALLERS = 20
# Faults come in this many series, which overlap.
SERIES = 3
MAX_PAUSE_S = 1.5
WARM_UP_S = 1.0
SETTLE_S = 4.0
RECOVERED_S = 2.0
RATES_PER_S = {"small": 10.0}


async def run_soak(
    seed: int,
    duration_s: float,
    directory: Path,
    hosts: int = 4,
    faults: Sequence[Fault] = ALL_FAULTS,
) -> SoakReport:
    """Run a soak; settings and logs of the hosts go to ``directory``."""
    random = Random(seed)
    keys = {"turf": ["k-turf"], "moss": ["k-moss"], "small": ["k-small"]}
    deployment = SoakDeployment(directory, hosts, TARGETS_PER_SERVICE, keys, RATES_PER_S)
    async with deployment:
        loop = asyncio.get_running_loop()
        history = History(loop.time())
        caller_keys = dict(keys)
        callers = Callers(
            deployment.addresses_by_host, caller_keys, history, Random(random.random())
        )
        calling = [asyncio.create_task(callers.run()) for _ in range(CALLERS)]
        await asyncio.sleep(WARM_UP_S)
        await _inject_faults(
            FaultContext(deployment, caller_keys, history, random), faults, duration_s
        )
        await asyncio.sleep(SETTLE_S)
        recovered_at = loop.time()
        await asyncio.sleep(RECOVERED_S)
        await _cancel(calling)
        checks = Checks(history, deployment.runs, RATES_PER_S, deployment.arrivals)
        broken = (*checks.broken(), *checks.recovered(recovered_at))
    return SoakReport(broken, tuple(history.lines), len(history.sent))


async def _inject_faults(context: FaultContext, faults: Sequence[Fault], duration_s: float) -> None:
    until = context.now + duration_s

    async def series(random: Random) -> None:
        while context.now < until:
            await random.choice(faults).inject(context)
            await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))

    # A series that fails ends the others, so that none starts a process after the end.
    async with asyncio.TaskGroup() as group:
        for _ in range(SERIES):
            group.create_task(series(Random(context.random.random())))


async def _cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result
