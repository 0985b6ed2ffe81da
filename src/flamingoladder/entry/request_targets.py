"""Which targets of a service a request may be sent to at this moment, examined one by one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterator

    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.entry.service_targets import ServiceTargets
    from flamingoladder.targets.notices import TargetNotices
    from flamingoladder.targets.state import TargetState


class RequestTargets:
    """The targets that are up, in the request's regions, and want requests.

    Ejected targets are left out, unless all others are. Those that were ``tried`` may still be the
    home of the request's object, but are not ``reachable``.
    """

    __slots__ = (
        "_allows_send",
        "_now",
        "_regions",
        "_service",
        "_skips_ejected_homes",
        "_skips_ejected_untried",
        "_tried",
    )

    def __init__(
        self,
        service: ServiceTargets,
        request: RoutedRequest,
        tried: Collection[str],
        allows_send: Callable[[TargetState, TargetNotices, float], bool],
        now: float,
    ) -> None:
        self._service = service
        self._regions = request.regions
        self._tried = tried
        self._allows_send = allows_send
        self._now = now
        self._skips_ejected_homes = any(
            not target.is_ejected(now) and self._allows(target) for target in service.started
        )
        self._skips_ejected_untried = self._skips_ejected_homes
        if tried:
            self._skips_ejected_untried = any(
                not target.is_ejected(now) and self._is_untried(target) and self._allows(target)
                for target in service.started
            )

    def home_candidate(self, target_id: str) -> TargetState | None:
        """Return the target if it may be a home for this request."""
        target = self._service.started_by_id.get(target_id)
        if target is None or not self._allows(target):
            return None
        return None if self._skips_ejected_homes and target.is_ejected(self._now) else target

    def reachable_target(self, target_id: str) -> TargetState | None:
        """Return the target if the request may be sent to it."""
        target = self._service.started_by_id.get(target_id)
        return target if target is not None and self.is_reachable(target) else None

    def reachable(self) -> Iterator[TargetState]:
        """Yield the targets that the request may be sent to."""
        return filter(self.is_reachable, self._service.started)

    def reachable_unfilled(self) -> Iterator[TargetState]:
        """Yield those of the reachable targets whose slots are not filled by the hosts' counts."""
        unfilled = (
            target
            for target in self._service.started
            if target.in_flight + target.remote_in_flight < target.record.slots
        )
        return filter(self.is_reachable, unfilled)

    def untried_starting(self) -> list[TargetState]:
        """Return the targets in slow start that may take the request."""
        return [t for t in self._service.starting if self._is_untried(t) and self._allows(t)]

    def is_reachable(self, target: TargetState) -> bool:
        """Return whether the request may be sent to the target."""
        if self._skips_ejected_untried and target.is_ejected(self._now):
            return False
        return self._is_untried(target) and self._allows(target)

    def _is_untried(self, target: TargetState) -> bool:
        return not self._tried or target.record.target_id not in self._tried

    def _allows(self, target: TargetState) -> bool:
        if target.down or (self._regions is not None and target.region not in self._regions):
            return False
        notices = target.notices
        return notices is None or self._allows_send(target, notices, self._now)
