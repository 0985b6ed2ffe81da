"""Applies what targets say of themselves, to this host or to others, to their state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.targets.load_faults import LoadFaults
from flamingoladder.targets.pause_learner import PauseLearner
from flamingoladder.targets.rate_limit import Told

if TYPE_CHECKING:
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.targets.notices import LoadReport
    from flamingoladder.targets.notices import PauseNotice
    from flamingoladder.targets.notices import TargetNotice
    from flamingoladder.targets.rate_limit import RateLimitNotice
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.state import TargetState
    from flamingoladder.timeline.recorder import Recorder

# A host reports for this long that a target leaves, so that no single lost report matters.
LEAVING_REPORTED_S = 10.0


class NoticeLearner:
    """Takes in notices and records what they change. Times are monotonic seconds."""

    __slots__ = ("_load_faults", "_members", "_pauses", "_recorder", "_targets")

    def __init__(
        self, targets: TargetRegistry, members: MemberRegistry, recorder: Recorder
    ) -> None:
        self._targets = targets
        self._members = members
        self._recorder = recorder
        self._pauses = PauseLearner(recorder)
        self._load_faults = LoadFaults()

    def learn(self, target: TargetState, notice: TargetNotice, sent_at: float, now: float) -> None:
        """Take in the answer of ``now`` to a request that was sent at ``sent_at``."""
        if notice.load is not None:
            self._learn_load(target, notice.load, now)
        if notice.rate_limit is not None:
            self._learn_own_rate_limit(target, notice.rate_limit, sent_at, now)
        if notice.leaving:
            self._learn_leaving(target, now, source=None)
        if notice.pause is not None:
            self._learn_pause(target, notice.pause, now)
        elif target.notices is not None and target.notices.pause is not None:
            target.notices.pause.note_answer(sent_at)

    def learn_reported_rate_limit(self, target_id: str, told: Told, source: str) -> None:
        """Take in what a target told the host ``source`` of its rate limit."""
        target = self._targets.by_id.get(target_id)
        if target is not None:
            self._learn_rate_limit(target, told, source=source)

    def learn_reported_leaving(
        self, target_id: str, started_ms: int | None, source: str, now: float
    ) -> None:
        """Take in that a target, started at ``started_ms``, told ``source`` that it leaves."""
        target = self._targets.by_id.get(target_id)
        if target is not None and target.record.started_ms == started_ms:
            self._learn_leaving(target, now, source=source)

    def leaving_targets(self, now: float) -> dict[str, int | None]:
        """Return the start of each target of which it was learned lately that it leaves."""
        return {
            target_id: target.record.started_ms
            for target_id, target in self._targets.by_id.items()
            if target.notices is not None
            and target.notices.leaving_since is not None
            and now - target.notices.leaving_since < LEAVING_REPORTED_S
        }

    def _learn_load(self, target: TargetState, load: LoadReport, now: float) -> None:
        target.update_load(load, now)
        if not load.unreadable_figures:
            return
        figures = self._load_faults.count(load.unreadable_figures, now)
        if figures:
            self._recorder.record(
                "target.load_unreadable",
                target=target.record.target_id,
                value=load.unreadable,
                figures=figures,
            )

    def _learn_leaving(self, target: TargetState, now: float, *, source: str | None) -> None:
        if target.notices is not None and target.notices.leaving_since is not None:
            return
        target.note_leaving(now)
        self._targets.eligibility_changes += 1
        self._recorder.record("target.leaving", target=target.record.target_id, source=source)

    def _learn_pause(self, target: TargetState, notice: PauseNotice, now: float) -> None:
        known = None if target.notices is None else target.notices.pause
        hosts = self._members.members_by_host
        pause = self._pauses.learn(target.record.target_id, known, notice, hosts, now)
        if pause is not None:
            target.get_notices().pause = pause

    def _learn_own_rate_limit(
        self, target: TargetState, notice: RateLimitNotice, sent_at: float, now: float
    ) -> None:
        if notice.unreadable:
            self._recorder.record(
                "target.rate_limit_unreadable",
                target=target.record.target_id,
                value=notice.unreadable,
            )
            return
        told = Told(notice.per_s, sent_at if notice.per_s is None else now)
        self._learn_rate_limit(target, told, source=None)

    def _learn_rate_limit(self, target: TargetState, told: Told, *, source: str | None) -> None:
        before_per_s = target.rate_limit_per_s
        target.learn_rate_limit(told, directly=source is None)
        if target.rate_limit_per_s != before_per_s:
            self._recorder.record(
                "target.rate_limit",
                target=target.record.target_id,
                per_s=target.rate_limit_per_s,
                before_per_s=before_per_s,
                source=source,
            )
