"""Finds targets that fell silent with requests at work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.entry.probing import PROBE_TIMEOUT_S
from flamingoladder.poison.detector import SILENT_AFTER_S

if TYPE_CHECKING:
    from flamingoladder.entry.probing import TargetProber
    from flamingoladder.entry.target_ends import TargetEnds
    from flamingoladder.poison.at_work import Work
    from flamingoladder.poison.detector import PoisonDetector
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.state import TargetState

CHECK_INTERVAL_S = 0.25
# A probe that took this much longer than its timeout was held up here, and proves nothing.
HELD_UP_S = 0.5


class SilenceCheck:
    """Probes a target from which nothing came since a request was sent, once for each silence.

    It has ended if the probe is not answered either, while other targets do answer this host.
    """

    __slots__ = ("_detector", "_ends", "_prober", "_targets", "_tasks")

    def __init__(
        self,
        detector: PoisonDetector,
        targets: TargetRegistry,
        prober: TargetProber,
        ends: TargetEnds,
    ) -> None:
        self._detector = detector
        self._targets = targets
        self._prober = prober
        self._ends = ends
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Check until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(loop.time())

    def check(self, now: float) -> None:
        """Begin to probe each target that is silent for too long."""
        silent = list(self._detector.at_work.unanswered(now, SILENT_AFTER_S))
        for work in silent:
            target = self._targets.by_id.get(work.start.target)
            if target is None or work.is_checked:
                continue
            work.is_checked = True
            task = asyncio.create_task(self._probe(target, work))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, target: TargetState, work: Work) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        if await self._is_alive(target):
            return
        held_up = loop.time() - began > PROBE_TIMEOUT_S + HELD_UP_S
        if held_up or self._detector.at_work.heard_since(work.start.target, work.began):
            return
        if await self._hears_others(work):
            self._ends.note_gone(target, loop.time())

    async def _hears_others(self, work: Work) -> bool:
        """Return whether this host is not itself cut off, as far as one other target tells."""
        if self._detector.at_work.heard_elsewhere_since(work.start.target, work.began):
            return True
        others = [
            other
            for name, other in self._targets.by_id.items()
            if name != work.start.target and not other.down
        ]
        apart = [of for of in others if of.record.failure_domain != work.start.failure_domain]
        control = next(iter(apart or others), None)
        return control is None or await self._is_alive(control)

    async def _is_alive(self, target: TargetState) -> bool:
        result = await self._prober.probe_once(target)
        if result.alive:
            now = asyncio.get_running_loop().time()
            self._detector.at_work.note_heard(target.record.target_id, now)
        return result.alive
