"""``flamingoladder soak``."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from pathlib import Path
from secrets import randbelow
from typing import TYPE_CHECKING

from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.soak.daemons import run_daemon_soak
from flamingoladder.soak.run import run_soak

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from flamingoladder.soak.report import SoakReport

MAX_SEED = 1_000_000


def soak(
    *,
    seed: int | None = None,
    seconds: float = 20.0,
    hosts: int = 4,
    directory: Path | None = None,
    daemons: Path | None = None,
) -> int:
    """Run hosts as processes under random faults, and check their promises.

    If a promise is broken, the time line and the logs of all hosts stay in the directory.

    :param seed: seed of the faults and the load; a new one by default
    :param seconds: how long faults are injected; some seconds more pass before and after
    :param hosts: number of entry hosts
    :param directory: where to write; a new temporary directory by default
    :param daemons: configuration file; runs daemons of the product's own interface, not entry hosts
    """
    found = randbelow(MAX_SEED) if seed is None else seed
    place = directory or Path(tempfile.mkdtemp(prefix="flamingoladder-soak-"))
    place.mkdir(parents=True, exist_ok=True)
    print(f"seed {found}, {seconds} s, in {place}")
    if daemons is None:
        run = run_soak(found, seconds, place, hosts)
    else:
        run = run_daemon_soak(found, seconds, place, daemons)
    report = asyncio.run(_run_until_terminated(run))
    lines = [*report.lines, *(f"BROKEN {of.promise}: {of.evidence}" for of in report.broken)]
    (place / "timeline.txt").write_text("\n".join(lines) + "\n")
    for line in lines if report.broken else ():
        print(line)
    print(f"{report.requests} requests, {len(report.broken)} promises broken")
    return ExitCode.PROMISE_BROKEN if report.broken else ExitCode.DONE


async def _run_until_terminated(run: Coroutine[None, None, SoakReport]) -> SoakReport:
    """Run a soak; SIGTERM cancels it, so that it ends the processes that it started."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
