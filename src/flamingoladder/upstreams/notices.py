"""Reads in answers that a target leaves or wants a pause, and records it with its health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder import fields
from flamingoladder.header_values import header
from flamingoladder.targets.notices import LEAVING
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.pause_learner import PauseLearner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.verdict import Answer


class UpstreamNotices:
    """Takes in what targets say of themselves in their answers. Times are monotonic seconds."""

    __slots__ = ("_board", "_pauses", "_recorder", "_state")

    def __init__(self, board: HealthBoard, state: StateInForce, recorder: Recorder) -> None:
        self._board = board
        self._state = state
        self._recorder = recorder
        self._pauses = PauseLearner(recorder)

    def learn(self, target: str, answer: Answer, sent_at: float, now: float) -> None:
        """Take in the answer of ``now`` to a request that was sent at ``sent_at``."""
        health = self._board.of(target)
        if header(answer, fields.SERVER_LEAVING) == LEAVING and not health.leaving:
            health.leaving = True
            self._recorder.record("target.leaving", target=target)
        pause = PauseNotice.from_answer(answer, fields.RETRY_AFTER)
        if pause is not None:
            health.pause = self._pauses.learn(target, health.pause, pause, self._hosts(), now)
        elif health.pause is not None:
            health.pause.note_answer(sent_at)

    def _hosts(self) -> Iterable[str]:
        state = self._state.current
        return () if state is None else state.members_by_host
