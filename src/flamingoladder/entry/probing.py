"""Probes targets that can't be reached, until they can be used again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.entry.beliefs import Beliefs
    from flamingoladder.entry.wire import TargetWire
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.state import TargetState
    from flamingoladder.timeline.recorder import Recorder

PAUSE_S = 0.5
TIMEOUT_S = 1.0


class TargetProber:
    """One task for each target that is in doubt."""

    __slots__ = ("_beliefs", "_book", "_on_down", "_recorder", "_tasks_by_target", "_wire")

    def __init__(
        self,
        book: TargetRegistry,
        beliefs: Beliefs,
        wire: TargetWire,
        on_down: Callable[[str, float], None],
        recorder: Recorder,
    ) -> None:
        self._book = book
        self._beliefs = beliefs
        self._wire = wire
        self._on_down = on_down
        self._recorder = recorder
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}

    def found_down(self, target: TargetState) -> None:
        """Use the target no more until a probe succeeds."""
        if not target.down:
            target.down = True
            self._recorder.record("target.down", target=target.record.target_id)
        self.check(target)

    def check(self, target: TargetState) -> None:
        """Probe the target at once, and on while it is down."""
        name = target.record.target_id
        if name not in self._tasks_by_target:
            task = asyncio.create_task(self._watch(target))
            self._tasks_by_target[name] = task
            task.add_done_callback(lambda _: self._tasks_by_target.pop(name, None))

    def close(self) -> None:
        """Stop probing."""
        for task in list(self._tasks_by_target.values()):
            task.cancel()

    async def _watch(self, target: TargetState) -> None:
        loop = asyncio.get_running_loop()
        while self._book.by_id.get(target.record.target_id) is target:
            result = await self._wire.probe(target, self._path(target), TIMEOUT_S)
            if result.healthy:
                self._up(target, result.cold_s, loop.time())
                return
            if not target.down:
                target.down = True
                self._recorder.record("target.down", target=target.record.target_id)
                self._on_down(target.record.target_id, loop.time())
            await asyncio.sleep(PAUSE_S)

    def _up(self, target: TargetState, cold_s: float, now: float) -> None:
        target.slow_start_until = max(target.slow_start_until, now + cold_s)
        if target.down:
            target.down = False
            self._recorder.record("target.up", target=target.record.target_id, cold_s=cold_s)

    def _path(self, target: TargetState) -> str:
        plan = self._beliefs.plan
        service = None if plan is None else plan.services_by_name.get(target.record.service)
        return "/" if service is None else service.health_path
