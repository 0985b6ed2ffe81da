"""Tells the detector of poison requests that targets ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.poison.at_work import TargetStart

if TYPE_CHECKING:
    from flamingoladder.poison.detector import PoisonDetector
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.state import TargetState


class TargetEnds:
    """Passes on the ends that connections, probes and registrations show.

    A target that leaves ends as planned, which condemns no request.
    """

    __slots__ = ("_detector",)

    def __init__(self, detector: PoisonDetector, targets: TargetRegistry) -> None:
        self._detector = detector
        targets.ended.subscribe(self._on_registered_end)

    def note_gone(self, target: TargetState, now: float) -> None:
        """Note that this start of the target serves no more."""
        if not target.leaving:
            self._detector.target_ended(start_of(target), now)

    def note_refusing(self, target: TargetState, now: float) -> None:
        """Note that the target refuses a connection, which it may also do when it has too many."""
        if not target.leaving:
            self._detector.target_ended(start_of(target), now, is_gone=False)

    def _on_registered_end(self, target: TargetState) -> None:
        self.note_gone(target, asyncio.get_running_loop().time())
        self._detector.at_work.forget_target(target.record.target_id)


def start_of(target: TargetState) -> TargetStart:
    """Return the start of the target that its registration names."""
    record = target.record
    return TargetStart(record.target_id, record.started_ms, record.failure_domain)
