"""Registry of the targets that are registered with a host."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from reactivex import Subject

from flamingoladder.targets.state import TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from flamingoladder.targets.notices import TargetNotices
    from flamingoladder.targets.record import TargetRecord
    from flamingoladder.timeline.recorder import Recorder


# Far more than the targets that are removed while the store is in trouble, and then come back.
MAX_KEPT_NOTICES = 1_000


class TargetRegistry:
    """Targets by id and by service, and the failure domains that are evacuated.

    ``eligibility_changes`` counts changes to the set of targets that may be homes of objects.
    ``removed`` emits the ids of removed targets, ``ended`` the last state of a target whose
    registration was removed or shows a later start.
    """

    __slots__ = (
        "_notices_by_start",
        "_recorder",
        "_regions_by_domain",
        "by_id",
        "by_service",
        "eligibility_changes",
        "ended",
        "evacuated",
        "removed",
    )

    def __init__(self, regions_by_domain: Mapping[str, str], recorder: Recorder) -> None:
        self._regions_by_domain = regions_by_domain
        self._recorder = recorder
        self.by_id: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.eligibility_changes = 0
        self.removed: Subject[str] = Subject()
        self.ended: Subject[TargetState] = Subject()
        self._notices_by_start: OrderedDict[tuple[str, int | None], TargetNotices] = OrderedDict()

    def put(self, record: TargetRecord, now: float) -> None:
        """Add a target, or update it from a newer registration."""
        target = self.by_id.get(record.target_id)
        if target is not None and target.record.service == record.service:
            if record.started_ms != target.record.started_ms:
                self.ended.on_next(target)
            target.update(record, now)
        else:
            self._add(record, now)
        self.eligibility_changes += 1
        self._recorder.record(
            "target.registered",
            target=record.target_id,
            service=record.service,
            address=record.address,
            draining=record.draining,
            cold_s=record.slow_start_s,
        )

    def remove(self, target_id: str, reason: str) -> None:
        """Remove a target and emit its id on ``removed``."""
        target = self.by_id.pop(target_id, None)
        if target is None:
            return
        self.by_service[target.record.service].remove(target)
        self._keep_notices(target)
        self.eligibility_changes += 1
        self._recorder.record("target.removed", target=target_id, reason=reason)
        self.removed.on_next(target_id)
        self.ended.on_next(target)

    def schedule_removal(self, target_id: str, remove_at: float) -> None:
        """Schedule the removal of a lapsed target; registering again cancels it."""
        target = self.by_id.get(target_id)
        if target is not None and target.remove_at is None:
            target.remove_at = remove_at

    def expire(self, now: float) -> None:
        """Remove the targets whose scheduled removal is due."""
        for target_id, target in list(self.by_id.items()):
            if target.remove_at is not None and now >= target.remove_at:
                self.remove(target_id, "lapsed")

    def set_evacuated(self, domains: Iterable[str], now: float, slow_start_s: float) -> None:
        """Set the evacuated failure domains; targets of restored ones enter slow start."""
        evacuated = frozenset(domains)
        if evacuated == self.evacuated:
            return
        restored = self.evacuated - evacuated
        for target in self.by_id.values():
            if target.record.failure_domain in restored:
                target.slow_start_until = max(target.slow_start_until, now + slow_start_s)
        self.evacuated = evacuated
        self.eligibility_changes += 1
        self._recorder.record("evacuation.changed", domains=",".join(sorted(evacuated)))

    def is_eligible(self, target: TargetState) -> bool:
        """Return whether the target may be a home of objects, regardless of ejection or outage."""
        return not target.leaving and target.record.failure_domain not in self.evacuated

    def eligible_targets(self, service: str) -> list[TargetState]:
        """Return the targets of a service that may be homes of objects."""
        return [target for target in self.by_service.get(service, ()) if self.is_eligible(target)]

    def _add(self, record: TargetRecord, now: float) -> None:
        self.remove(record.target_id, "moved")
        region = self._regions_by_domain.get(record.failure_domain, "")
        added = TargetState(record, region, now)
        notices = self._notices_by_start.pop((record.target_id, record.started_ms), None)
        if notices is not None:
            added.adopt_notices(notices)
        self.by_id[record.target_id] = added
        self.by_service.setdefault(record.service, []).append(added)

    def _keep_notices(self, target: TargetState) -> None:
        """Keep what a removed target said, which holds if the same start registers again."""
        if target.notices is None:
            return
        self._notices_by_start[target.record.target_id, target.record.started_ms] = target.notices
        if len(self._notices_by_start) > MAX_KEPT_NOTICES:
            self._notices_by_start.popitem(last=False)
