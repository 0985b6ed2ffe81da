"""All processes are killed at once while a request that crashes its targets comes again."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab2"))

import parts  # noqa: E402

PATH = "/tally/poison"
PERIOD_S = 5.5
BACK_AFTER_S = 3.0
# An entry is removed after three heartbeat intervals of silence.
ENTRY_LAPSES_S = 4.5
# As the site has it.
WARMUP_S = 3.0
WARMUP_PER_S = 2.9
DEADLINE_MS = 4_000
TARGETS = 12
ROUNDS = 2
SENDS_A_ROUND = 4
LATE_ALLOWED = 3


class Play:
    """The deployment, the caller of the one request, and who keeps the targets up."""

    def __init__(self) -> None:
        self.deployment = parts.Deployment(FOLDER)
        self.record = self.deployment.record
        self.killed_at = 0.0
        self.started_at: dict[str, float] = {}
        self.sent_to: dict[str, str] = {}
        self._sends = 0
        self._next_target = 0

    def new_target(self, zone: str) -> parts.Target:
        target = parts.Target(f"i-{self._next_target}", "tally", zone, self.record)
        target.crash_path = PATH
        self._next_target += 1
        return target

    async def keep_up(self) -> None:
        """Start a new incarnation, with a new id, some seconds after a target crashed."""
        ended: set[str] = set()
        while True:
            for target in list(self.deployment.targets):
                if target.is_crashed and target.name not in ended:
                    ended.add(target.name)
                    asyncio.create_task(self._replace(target))
            await asyncio.sleep(0.05)

    async def _replace(self, target: parts.Target) -> None:
        store = self.deployment.store
        asyncio.get_running_loop().call_later(ENTRY_LAPSES_S, store.drop, "servers", target.name)
        await asyncio.sleep(BACK_AFTER_S)
        target = self.new_target(target.zone)
        target.warmup_left_s = WARMUP_S
        self.deployment.targets.append(target)
        await target.start(store)
        self.record(f"{target.name} started, cold for {WARMUP_S} s")

    async def send(self) -> int:
        """Send the request to the next machine and return the status, 0 without an answer."""
        daemon = self.deployment.daemons[self._sends % len(self.deployment.daemons)]
        name = f"{self._sends:016x}"
        self._sends += 1
        self.sent_to[name] = daemon.name
        status = 0
        try:
            reader, writer = await asyncio.open_connection(parts.LOOPBACK, daemon.front)
            writer.write(parts.head("GET", PATH, name, DEADLINE_MS))
            status, _ = await asyncio.wait_for(parts.read_head(reader), DEADLINE_MS / 1000)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        self.record(f"{name} sent to {daemon.name} got {status}")
        return status

    async def kill_all(self) -> None:
        """Kill all processes at the same moment; the platform starts them again."""
        daemons = self.deployment.daemons
        for daemon in daemons:
            daemon.send(signal.SIGKILL)
        self.killed_at = time.monotonic()
        self.record("all processes killed")
        for daemon in daemons:
            await daemon.process.wait()
            daemon.settings["self"]["bootstrap"] = False
        await asyncio.sleep(0.3)
        for daemon in daemons:
            await daemon.start()
            self.started_at[daemon.name] = time.monotonic()
            self.record(f"{daemon.name} started again")
        while not all([await daemon.is_ready() for daemon in daemons]):
            await asyncio.sleep(0.05)

    def late(self) -> int:
        """Count the retries that machines in touch sent too late after the third crash."""
        stable_s = parts.BOUNDS["stable_s"]
        runs = [run for target in self.deployment.targets for run in target.runs]
        runs.sort(key=lambda run: run.began)
        if len(runs) < 3:
            return 0
        late = 0
        for run in runs[3:]:
            machine = self.sent_to[run.request_id]
            is_before = run.began < self.killed_at
            in_touch = is_before or run.began - self.started_at[machine] >= stable_s
            is_late = run.began - runs[2].began > stable_s
            late += in_touch and is_late
            self.record(
                f"retry {run.request_id} at {run.target} {run.began - runs[2].began:.2f} s after "
                f"the third crash, {machine} in touch: {in_touch}"
            )
        return late


async def case() -> bool:
    play = Play()
    deployment = play.deployment
    route = {"name": "tally", "path_prefix": "/tally/", "kind": "idempotent", "service": "tally",
             "timeout_s": 5.0}
    zones = list(parts.ZONES)
    targets = [play.new_target(zones[n % 3]) for n in range(TARGETS)]
    try:
        configuration = parts.configuration(1, [route], ["tally"])
        for service in configuration["services"]:
            service.update(warmup_s=WARMUP_S, warmup_per_s=WARMUP_PER_S)
        await deployment.start(configuration, targets)
        play.started_at = {daemon.name: 0.0 for daemon in deployment.daemons}
        keeping = asyncio.create_task(play.keep_up())
        for number in range(ROUNDS):
            if number and parts.trouble():
                await play.kill_all()
            for _ in range(SENDS_A_ROUND):
                await asyncio.sleep(PERIOD_S)
                await play.send()
        await asyncio.sleep(1)
        keeping.cancel()
        late = play.late()
        play.record(f"{late} late retries reached targets, {LATE_ALLOWED} are allowed")
        return late > LATE_ALLOWED
    finally:
        await deployment.end()


parts.main(case)
