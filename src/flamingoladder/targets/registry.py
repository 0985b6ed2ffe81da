"""All targets that a host knows, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex import Subject

from flamingoladder.targets.state import TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from flamingoladder.targets.record import TargetRecord
    from flamingoladder.timeline.recorder import Recorder


class TargetRegistry:
    """Targets by id, the failure domains that are evacuated, and what may take work.

    ``membership`` counts the changes of the set of targets that may have homes.
    """

    __slots__ = (
        "_recorder",
        "_regions_by_domain",
        "by_id",
        "by_service",
        "eligibility_changes",
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

    def put(self, record: TargetRecord, now: float) -> None:
        """Take in what a target says of itself."""
        known = self.by_id.get(record.target_id)
        if known is not None and known.record.service == record.service:
            known.update(record, now)
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
        """Forget a target."""
        known = self.by_id.pop(target_id, None)
        if known is None:
            return
        self.by_service[known.record.service].remove(known)
        self.eligibility_changes += 1
        self._recorder.record("target.removed", target=target_id, reason=reason)
        self.removed.on_next(target_id)

    def schedule_removal(self, target_id: str, remove_at: float) -> None:
        """Keep a target whose entry lapsed until ``until``, in case it comes back."""
        known = self.by_id.get(target_id)
        if known is not None and known.remove_at is None:
            known.remove_at = remove_at

    def expire(self, now: float) -> None:
        """Forget held targets that have not come back."""
        for target_id, known in list(self.by_id.items()):
            if known.remove_at is not None and now >= known.remove_at:
                self.remove(target_id, "lapsed")

    def set_evacuated(self, domains: Iterable[str], now: float, slow_start_s: float) -> None:
        """Take failure domains out of use; those that come back are cold for ``ramp_s``."""
        evacuated = frozenset(domains)
        if evacuated == self.evacuated:
            return
        back = self.evacuated - evacuated
        for known in self.by_id.values():
            if known.record.failure_domain in back:
                known.slow_start_until = max(known.slow_start_until, now + slow_start_s)
        self.evacuated = evacuated
        self.eligibility_changes += 1
        self._recorder.record("evacuation.changed", domains=",".join(sorted(evacuated)))

    def is_eligible(self, target: TargetState) -> bool:
        """Return whether the target may be the home of objects, leaving passing trouble aside."""
        record = target.record
        return not record.draining and record.failure_domain not in self.evacuated

    def eligible_targets(self, service: str) -> list[TargetState]:
        """Return the targets of a service that may be homes."""
        return [target for target in self.by_service.get(service, ()) if self.is_eligible(target)]

    def _add(self, record: TargetRecord, now: float) -> None:
        self.remove(record.target_id, "moved")
        region = self._regions_by_domain.get(record.failure_domain, "")
        added = TargetState(record, region, now)
        self.by_id[record.target_id] = added
        self.by_service.setdefault(record.service, []).append(added)
