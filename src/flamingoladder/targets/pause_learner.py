"""Takes in the pauses that targets name in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.targets.fleet_share import fleet_turn
from flamingoladder.targets.pause import MAX_PAUSE_S
from flamingoladder.targets.pause import TargetPause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.targets.notices import PauseNotice
    from flamingoladder.timeline.recorder import Recorder


class PauseLearner:
    """Brings notices of pauses to the pauses of targets, and records them."""

    __slots__ = ("_recorder",)

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder

    def learn(
        self,
        target_id: str,
        known: TargetPause | None,
        notice: PauseNotice,
        hosts: Iterable[str],
        now: float,
    ) -> TargetPause | None:
        """Return the target's pause after the notice of ``now``, in monotonic seconds.

        ``known`` is its earlier one. ``hosts`` return to the target one after the other.
        """
        if notice.unreadable:
            self._recorder.record(
                "target.pause_unreadable", target=target_id, value=notice.unreadable
            )
        if notice.seconds > MAX_PAUSE_S:
            self._recorder.record("target.pause_bounded", target=target_id, value=notice.seconds)
        if not notice.seconds:
            return known
        pause = known or TargetPause()
        pause.name(notice.seconds, fleet_turn(target_id, self._recorder.host, hosts), now)
        left_s = round(pause.resume_at - now, 3)
        self._recorder.record(
            "target.paused", target=target_id, seconds=notice.seconds, resumes_after_s=left_s
        )
        return pause
