"""The course of the demo."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.config.agreed import DrainKind
from flamingoladder.console.operator_console import Call
from flamingoladder.demo.promises import Evidence
from flamingoladder.demo.promises import Marks
from flamingoladder.demo.report import promise_lines
from flamingoladder.demo.report import refusal_lines
from flamingoladder.demo.report import service_lines
from flamingoladder.demo.traffic import LOAD
from flamingoladder.demo.traffic import Traffic
from flamingoladder.demo.traffic import kinds_of
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.operators.messages import ReasonRequest
from flamingoladder.standins.deployment import LocalDeployment
from flamingoladder.standins.processes import Processes

if TYPE_CHECKING:
    from pathlib import Path

    from flamingoladder.config.model import Deployment
    from flamingoladder.operators.messages import KeyReply

STEP_S = 3.0
SEED = 7
SECOND_KEY_RATE_PER_S = 10.0
STOP_TIMEOUT_S = 30.0
DRAIN_GRACE_S = 4.0


class DrainedTarget(msgspec.Struct, frozen=True):
    """The target that the demo drains."""

    service: str
    name: str

    @classmethod
    def first_of(cls, deployment: Deployment) -> DrainedTarget:
        """Return the first target of the first service."""
        service, declared = next(iter(deployment.services.items()))
        return cls(service, next(iter(declared.targets)))


class Scenario:
    """A deployment under traffic, and what is done to it."""

    __slots__ = ("_deployment", "_drained_target", "_traffic")

    def __init__(self, deployment: LocalDeployment) -> None:
        self._deployment = deployment
        self._drained_target = DrainedTarget.first_of(deployment.deployment)
        urls = [host.caller_url for host in deployment.hosts]
        self._traffic = Traffic(urls, kinds_of(deployment.deployment), Random(SEED))

    async def run(self) -> bool:
        """Run the demo, print its report, and return whether all promises were kept."""
        deployment = self._deployment
        await deployment.start()
        print(f"{len(deployment.hosts)} entry daemons are ready")
        granted_by_workspace: dict[str, KeyReply] = {}
        for workspace in deployment.deployment.workspaces:
            granted = await deployment.grant(workspace)
            granted_by_workspace[workspace] = granted
        await deployment.wait_until_serving(granted.key)
        print("slots are in use")
        for workspace, granted in granted_by_workspace.items():
            rate = deployment.deployment.rate_of(workspace) * LOAD
            self._traffic.add_source(granted.key_id, granted.key, rate)
        marks = await self._disturb()
        await self._traffic.stop()
        return await self._report(marks)

    async def _disturb(self) -> Marks:
        deployment = self._deployment
        loop = asyncio.get_running_loop()
        smallest = min(deployment.deployment.workspaces, key=deployment.deployment.rate_of)
        second = await deployment.grant(smallest)
        self._traffic.add_source(second.key_id, second.key, SECOND_KEY_RATE_PER_S)
        await asyncio.sleep(STEP_S)
        report = await deployment.operate(Call("DELETE", f"/v1/keys/{second.key_id}", CommitReport))
        withdrawn_at = loop.time()
        print(f"withdrew {second.key_id}: in force after {report.seconds:.2f} s")
        await asyncio.sleep(STEP_S)
        drained_at = await self._drain()
        await asyncio.sleep(STEP_S)
        stopped, killed = deployment.hosts[1], deployment.hosts[2]
        process = deployment.process_of(stopped.name)
        process.terminate()
        print(f"asked {stopped.name} for a graceful stop")
        exit_status = await process.wait(STOP_TIMEOUT_S)
        print(f"{stopped.name} ended with status {exit_status}")
        await asyncio.sleep(STEP_S)
        deployment.process_of(killed.name).kill()
        print(f"killed {killed.name}")
        await asyncio.sleep(2 * STEP_S)
        return Marks(
            withdrawn_at_by_key_id={second.key_id: withdrawn_at},
            drained_at_by_target={self._drained_target.name: drained_at},
            exit_status_by_stopped_url={stopped.caller_url: exit_status},
        )

    async def _drain(self) -> float:
        service, target = self._drained_target.service, self._drained_target.name
        path = f"/v1/drains/{DrainKind.TARGET}/{service}/{target}"
        body = ReasonRequest("shown in the demo")
        asked_at = asyncio.get_running_loop().time()
        report = await self._deployment.operate(Call("PUT", path, CommitReport, body))
        print(f"drained {target}: in force after {report.seconds:.2f} s")
        return asked_at + DRAIN_GRACE_S

    async def _report(self, marks: Marks) -> bool:
        services = self._deployment.deployment.services
        reports = [await self._deployment.runs(service) for service in services]
        promises = Evidence(self._traffic.sent, reports, marks).promises()
        for line in service_lines(self._traffic.sent):
            print(line)
        for line in refusal_lines(self._traffic.sent):
            print(line)
        for line in promise_lines(promises):
            print(line)
        return not any(promise.broken_by for promise in promises)


async def run_demo(configuration: Path, log_directory: Path) -> bool:
    """Run the demo on a configuration file; logs go to a directory.

    Return whether all promises were kept.
    """
    async with Processes(log_directory) as processes:
        deployment = LocalDeployment.from_file(processes, configuration, Random(SEED))
        return await Scenario(deployment).run()
