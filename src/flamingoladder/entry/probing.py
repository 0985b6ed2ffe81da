"""Probes targets that are down or suspect until they are healthy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.entry.results import ProbeResult
    from flamingoladder.entry.target_client import TargetClient
    from flamingoladder.entry.target_ends import TargetEnds
    from flamingoladder.targets.notice_learner import NoticeLearner
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.state import TargetState
    from flamingoladder.timeline.recorder import Recorder

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0


class TargetProber:
    """Health-checks suspect targets, with one task per target."""

    __slots__ = (
        "_client",
        "_configuration",
        "_ends",
        "_notices",
        "_recorder",
        "_targets",
        "_tasks_by_target",
    )

    def __init__(
        self,
        targets: TargetRegistry,
        configuration: ActiveConfiguration,
        client: TargetClient,
        ends: TargetEnds,
        notices: NoticeLearner,
        recorder: Recorder,
    ) -> None:
        self._targets = targets
        self._configuration = configuration
        self._client = client
        self._ends = ends
        self._notices = notices
        self._recorder = recorder
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}

    def mark_down(self, target: TargetState) -> None:
        """Take the target out of use until a probe succeeds."""
        if not target.down:
            target.down = True
            self._recorder.record("target.down", target=target.record.target_id)
        self.check(target)

    def check(self, target: TargetState) -> None:
        """Probe the target at once, and repeat until a probe succeeds."""
        name = target.record.target_id
        if name not in self._tasks_by_target:
            task = asyncio.create_task(self._probe_until_healthy(target))
            self._tasks_by_target[name] = task
            task.add_done_callback(lambda _: self._tasks_by_target.pop(name, None))

    async def probe_once(self, target: TargetState) -> ProbeResult:
        """Return the result of one health check, and take in what its answer says."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        result = await self._client.probe(target, self._health_path(target), PROBE_TIMEOUT_S)
        if result.notice is not None:
            self._notices.learn(target, result.notice, sent_at, loop.time())
        return result

    def close(self) -> None:
        """Stop probing."""
        for task in list(self._tasks_by_target.values()):
            task.cancel()

    async def _probe_until_healthy(self, target: TargetState) -> None:
        loop = asyncio.get_running_loop()
        while self._targets.by_id.get(target.record.target_id) is target:
            if target.notices is not None and target.notices.rests(loop.time()):
                await asyncio.sleep(PROBE_INTERVAL_S)
                continue
            result = await self.probe_once(target)
            if not result.alive:
                self._ends.note_refusing(target, loop.time())
            if result.healthy:
                self._mark_up(target, result.slow_start_s, loop.time())
                return
            if not target.down:
                target.down = True
                self._recorder.record("target.down", target=target.record.target_id)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _mark_up(self, target: TargetState, slow_start_s: float, now: float) -> None:
        if slow_start_s > 0:
            target.slow_start_until = max(target.slow_start_until, now + slow_start_s)
            self._targets.eligibility_changes += 1
        if target.down:
            target.down = False
            self._recorder.record("target.up", target=target.record.target_id, cold_s=slow_start_s)

    def _health_path(self, target: TargetState) -> str:
        routing = self._configuration.routing
        service = None if routing is None else routing.services_by_name.get(target.record.service)
        return "/" if service is None else service.health_path
