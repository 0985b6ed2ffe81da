"""A soak of the product's own daemons, on stand-ins of the platform and the upstreams."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from flamingoladder.console.operator_console import Call
from flamingoladder.demo.promises import Evidence
from flamingoladder.demo.promises import Marks
from flamingoladder.demo.traffic import LOAD
from flamingoladder.demo.traffic import Traffic
from flamingoladder.demo.traffic import kinds_of
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.soak.broken import Broken
from flamingoladder.soak.faults import STORE_FAULTS
from flamingoladder.soak.faults import STORE_OUTAGES
from flamingoladder.soak.history import History
from flamingoladder.soak.promises import recovery
from flamingoladder.soak.report import SoakReport
from flamingoladder.standins.deployment import LocalDeployment
from flamingoladder.standins.exceptions import CallFailedError
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.processes import Processes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    from flamingoladder.operators.messages import KeyReply
    from flamingoladder.standins.deployment import LocalHost

SERIES = 2
MAX_PAUSE_S = 1.0
STOP_TIMEOUT_S = 30.0
# A host that comes back uses its slots once no earlier owner can: after a proof and a deadline.
SETTLE_S = 8.0
RECOVERED_S = 2.0
EXTRA_KEY_RATE_PER_S = 4.0
GRANT_ATTEMPTS = 5
GRANT_PAUSE_S = 0.5


class DaemonSoak:
    """A deployment under traffic, and the faults that are injected into it."""

    __slots__ = (
        "_changing",
        "_deployment",
        "_history",
        "_hosts_busy",
        "_marks",
        "_platform_busy",
        "_random",
        "_traffic",
    )

    def __init__(self, deployment: LocalDeployment, random: Random) -> None:
        self._deployment = deployment
        self._random = random
        self._history = History(asyncio.get_running_loop().time())
        self._marks = Marks()
        urls = [host.caller_url for host in deployment.hosts]
        self._traffic = Traffic(urls, kinds_of(deployment.deployment), Random(random.random()))
        self._hosts_busy = {host.name: asyncio.Lock() for host in deployment.hosts}
        self._platform_busy = asyncio.Lock()
        self._changing = asyncio.Lock()

    async def run(self, duration_s: float) -> SoakReport:
        """Inject faults for some seconds, and return what was found."""
        deployment = self._deployment
        await deployment.start()
        for workspace in deployment.deployment.workspaces:
            granted = await self._first_key(workspace)
            rate = deployment.deployment.rate_of(workspace) * LOAD
            self._traffic.add_source(granted.key_id, granted.key, rate)
        await deployment.wait_until_serving(granted.key)
        until = self._now + duration_s
        async with asyncio.TaskGroup() as group:
            for _ in range(SERIES):
                group.create_task(self._inject_until(until))
        await asyncio.sleep(SETTLE_S)
        recovered_at = self._now
        await asyncio.sleep(RECOVERED_S)
        await self._traffic.stop()
        broken = (*await self._broken(), *self._recovered(recovered_at))
        return SoakReport(broken, tuple(self._history.lines), len(self._traffic.sent))

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def _faults(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        return (
            self._kill,
            self._stop,
            self._freeze,
            self._trouble_platform,
            self._restore_platform,
            self._withdraw,
        )

    async def _first_key(self, workspace: str) -> KeyReply:
        """Grant a key; hosts that have just started may refuse a few times, without a majority."""
        for _ in range(GRANT_ATTEMPTS):
            try:
                return await self._deployment.grant(workspace)
            except CallFailedError as error:
                self._note(f"grant refused: {error}")
                await asyncio.sleep(GRANT_PAUSE_S)
        return await self._deployment.grant(workspace)

    async def _inject_until(self, until: float) -> None:
        while self._now < until:
            await self._random.choice(self._faults)()
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    async def _kill(self) -> None:
        host = self._random.choice(self._deployment.hosts)
        async with self._hosts_busy[host.name]:
            process = self._deployment.process_of(host.name)
            self._history.begin_fault(host.caller_url, self._now)
            process.kill()
            self._note(f"{host.name} killed")
            await process.wait()
            await asyncio.sleep(self._random.uniform(0.1, 2.0))
            await self._start(host)

    async def _stop(self) -> None:
        host = self._random.choice(self._deployment.hosts)
        async with self._hosts_busy[host.name]:
            process = self._deployment.process_of(host.name)
            process.terminate()
            self._note(f"{host.name} asked to stop")
            status = await process.wait(STOP_TIMEOUT_S)
            self._note(f"{host.name} ended with status {status}")
            self._marks.exit_status_by_stopped_url[host.caller_url] = status
            await self._start(host)

    async def _freeze(self) -> None:
        host = self._random.choice(self._deployment.hosts)
        async with self._hosts_busy[host.name]:
            process = self._deployment.process_of(host.name)
            self._history.begin_fault(host.caller_url, self._now)
            process.freeze()
            self._note(f"{host.name} frozen")
            await asyncio.sleep(self._random.uniform(0.3, 5.0))
            process.thaw()
            self._note(f"{host.name} thawed")

    async def _trouble_platform(self) -> None:
        async with self._platform_busy:
            faults = self._random.choice(STORE_FAULTS)
            await self._deployment.set_faults(faults)
            self._note(f"platform: {faults}")
            await asyncio.sleep(self._random.uniform(0.5, 4.0))
            await self._deployment.set_faults(FaultSettings())
            self._note("platform: no fault")

    async def _restore_platform(self) -> None:
        """Lose what the store is told for some seconds; the hosts write it again."""
        await self._deployment.keep_copy()
        self._note("platform: keeps a copy")
        await asyncio.sleep(self._random.uniform(1.0, 8.0))
        async with self._platform_busy:
            await self._deployment.set_faults(self._random.choice(STORE_OUTAGES))
            await asyncio.sleep(self._random.uniform(0.0, 2.0))
            await self._deployment.restore()
            await self._deployment.set_faults(FaultSettings())
            self._note("platform: back from the copy")

    async def _withdraw(self) -> None:
        """Grant a key, use it for a while and withdraw it; a refused change is left at that."""
        async with self._changing:
            try:
                workspace = self._random.choice(list(self._deployment.deployment.workspaces))
                granted = await self._deployment.grant(workspace)
                self._traffic.add_source(granted.key_id, granted.key, EXTRA_KEY_RATE_PER_S)
                await asyncio.sleep(self._random.uniform(0.5, 2.0))
                path = f"/v1/keys/{granted.key_id}"
                report = await self._deployment.operate(Call("DELETE", path, CommitReport))
            except CallFailedError as error:
                self._note(f"change refused: {error}")
                return
            self._note(f"{granted.key_id} withdrawn, in force: {report.in_force}")
            if report.in_force:
                self._marks.withdrawn_at_by_key_id[granted.key_id] = self._now

    async def _start(self, host: LocalHost) -> None:
        self._deployment.start_host(host)
        await self._deployment.wait_until_ready(host)
        self._note(f"{host.name} is back")

    async def _broken(self) -> list[Broken]:
        services = self._deployment.deployment.services
        reports = [await self._deployment.runs(service) for service in services]
        for url in self._history.faults_by_name:
            self._marks.exit_status_by_stopped_url.pop(url, None)
        promises = Evidence(self._traffic.sent, reports, self._marks).promises()
        return [Broken(promise.text, text) for promise in promises for text in promise.broken_by]

    def _recovered(self, since: float) -> list[Broken]:
        withdrawn = self._marks.withdrawn_at_by_key_id
        late = [
            sent
            for sent in self._traffic.sent
            if sent.started >= since and sent.key_id not in withdrawn and sent.outcome is not None
        ]
        served = sum(sent.outcome is not None and sent.outcome.is_ok() for sent in late)
        return recovery(served, len(late))

    def _note(self, text: str) -> None:
        self._history.note(self._now, text)


async def run_daemon_soak(
    seed: int, duration_s: float, directory: Path, configuration: Path
) -> SoakReport:
    """Run a soak of a configuration's deployment; logs of all processes go to ``directory``."""
    random = Random(seed)
    async with Processes(directory) as processes:
        deployment = LocalDeployment.from_file(processes, configuration, Random())
        return await DaemonSoak(deployment, random).run(duration_s)
