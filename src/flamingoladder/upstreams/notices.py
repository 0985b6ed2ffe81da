"""Reads in answers that a target leaves or wants a pause, and records it with its health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder import fields
from flamingoladder.header_values import header
from flamingoladder.targets.fleet_share import fleet_share
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.pause import MAX_PAUSE_S
from flamingoladder.targets.pause import TargetPause

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.health import TargetHealth
    from flamingoladder.verdict import Answer

SERVICE_UNAVAILABLE = 503
LEAVING = "1"


class UpstreamNotices:
    """Takes in what targets say of themselves in their answers. Times are monotonic seconds."""

    __slots__ = ("_board", "_recorder", "_state")

    def __init__(self, board: HealthBoard, state: StateInForce, recorder: Recorder) -> None:
        self._board = board
        self._state = state
        self._recorder = recorder

    def learn(self, target: str, answer: Answer, sent_at: float, now: float) -> None:
        """Take in the answer of ``now`` to a request that was sent at ``sent_at``."""
        health = self._board.of(target)
        if header(answer, fields.SERVER_LEAVING) == LEAVING and not health.leaving:
            health.leaving = True
            self._recorder.record("target.leaving", target=target)
        text = header(answer, fields.RETRY_AFTER)
        if answer.status != SERVICE_UNAVAILABLE or text is None:
            if health.pause is not None:
                health.pause.note_answer(sent_at)
            return
        self._learn_pause(target, health, PauseNotice.from_text(text), now)

    def _learn_pause(
        self, target: str, health: TargetHealth, notice: PauseNotice, now: float
    ) -> None:
        if notice.unreadable:
            self._recorder.record("target.pause_unreadable", target=target, value=notice.unreadable)
        if notice.seconds > MAX_PAUSE_S:
            self._recorder.record("target.pause_bounded", target=target, value=notice.seconds)
        if not notice.seconds:
            return
        if health.pause is None:
            health.pause = TargetPause()
        health.pause.name(notice.seconds, self._turn(target), now)
        left_s = round(health.pause.resume_at - now, 3)
        self._recorder.record(
            "target.paused", target=target, seconds=notice.seconds, resumes_after_s=left_s
        )

    def _turn(self, target: str) -> float:
        """Return this host's place among all for the target, from 0 to 1."""
        state = self._state.current
        hosts = {} if state is None else state.members_by_host
        share = fleet_share(0, target, self._recorder.host, hosts)
        return share.rank / max(1, len(hosts))
