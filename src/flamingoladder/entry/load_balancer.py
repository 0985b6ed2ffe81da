"""Chooses the target that is expected to complete a request first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.entry import costs
from flamingoladder.steering.home_assignment import HomeAssignment
from flamingoladder.steering.overflow_cap import OverflowCap
from flamingoladder.targets.fleet_share import fleet_share
from flamingoladder.targets.run_times import RunTimes
from flamingoladder.targets.state import TargetState

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.steering.known_objects import KnownObjects
    from flamingoladder.targets.notices import TargetNotices
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.slow_start import SlowStartLimit

# The number of targets, highest ranked first, that are compared for a request.
MAX_CANDIDATES = 4


class Choice(msgspec.Struct, frozen=True):
    """A chosen target, with its ``load`` in requests and its ``cost`` in units of a cold run.

    ``is_home`` is set if the target is the object's home. ``is_warm`` is set if the target has
    probably handled the object recently, or if the request concerns no object. ``all_busy`` is set
    if no target that the request may use has a free slot.
    """

    target: TargetState
    is_home: bool
    is_warm: bool
    load: int
    cost: float
    all_busy: bool = False

    @property
    def queue_position(self) -> int:
        """Return the request's position in the target's queue, 0 if a slot is free."""
        return self.target.queue_position(self.load)


class Overload(msgspec.Struct, frozen=True):
    """A rejection because all allowed targets are busy.

    ``best`` is the cheapest target, ``reason`` completes the sentence "it would ...", and
    ``late_s`` is by how much the request would miss its admission deadline there.
    """

    best: Choice
    late_s: float
    reason: str


class LoadBalancer:
    """Chooses by network cost, queue length and whether the target recently handled the object."""

    __slots__ = (
        "_configuration",
        "_homes_by_service",
        "_members",
        "_overflow",
        "_region",
        "_run_times",
        "_slow_start_limit",
        "_targets",
    )

    def __init__(
        self,
        targets: TargetRegistry,
        configuration: ActiveConfiguration,
        members: MemberRegistry,
        slow_start_limit: SlowStartLimit,
        region: str,
    ) -> None:
        self._targets = targets
        self._configuration = configuration
        self._members = members
        self._slow_start_limit = slow_start_limit
        self._region = region
        self._homes_by_service: dict[str, HomeAssignment] = {}
        self._run_times = RunTimes()
        self._overflow = OverflowCap()

    @property
    def region(self) -> str:
        """Return the region of this host."""
        return self._region

    def choose(
        self, request: RoutedRequest, tried: Collection[str], now: float
    ) -> Choice | Overload | None:
        """Return the target to send to next, or None if none can take the request.

        While a target has a free slot, the request is admitted. While all are busy, it is rejected
        if the best target would complete it after its admission deadline, so that targets don't
        work on requests that are too late; if the best target would need a cold run, which takes
        the time of several warm ones; or if requests recently timed out at that queue position.
        """
        allowed = [
            target
            for target in self._targets.eligible_targets(request.service)
            if not target.down
            and (request.regions is None or target.region in request.regions)
            and (target.notices is None or self._allows_send(target, target.notices, now))
        ]
        usable = [target for target in allowed if not target.in_slow_start(now)]
        home_candidates = _not_ejected(usable, now)
        reachable = _not_ejected(_untried(usable, tried), now) if tried else home_candidates
        best = self._best(request, home_candidates, reachable, now)
        if best is None:
            starting = [target for target in _untried(allowed, tried) if target.in_slow_start(now)]
            return self._cheapest_in_slow_start(request, starting, now)
        if not self._all_busy(reachable, best, now):
            return best
        best = msgspec.structs.replace(best, all_busy=True)
        return self._overload_of(request, best, now) or best

    def count_send(self, target: TargetState, now: float) -> None:
        """Count a request that is being sent to the target."""
        target.in_flight += 1
        self._overflow.record_send(now, cross_region=target.region != self._region)
        if target.in_slow_start(now):
            target.slow_start_sends.add(now)
        if target.notices is not None:
            target.notices.count_send(now)

    def count_end(self, target: TargetState) -> None:
        """Count a request that ended at the target, whatever came of it."""
        target.in_flight -= 1

    def rest_s(self, request: RoutedRequest, now: float) -> float:
        """Return the seconds until a target takes requests, or 0 if not all of them rest."""
        targets = [
            target
            for target in self._targets.eligible_targets(request.service)
            if request.regions is None or target.region in request.regions
        ]
        resume_times = [
            target.notices.pause.resume_at
            for target in targets
            if target.notices is not None and target.notices.pause is not None
        ]
        if len(resume_times) < len(targets):
            return 0.0
        return max(0.0, min(resume_times, default=now) - now)

    def record_run(self, request: RoutedRequest, choice: Choice, seconds: float) -> None:
        """Record a successful run: its duration, and that the target handled the object."""
        if request.object_key is not None:
            choice.target.record_object(request.object_key)
        if choice.queue_position:
            return
        if choice.is_home or request.object_key is None:
            self._run_times.record(request.service, request.route.name, seconds)

    def typical_run_s(self, service: str, route: str) -> float | None:
        """Return the typical duration of a run in seconds, or None with too few runs recorded."""
        return self._run_times.typical_s(service, route)

    def homes_of(self, service: str) -> HomeAssignment:
        """Return the assignment of a service's objects to home targets."""
        assignment = self._homes_by_service.get(service)
        if assignment is None:
            assignment = self._homes_by_service[service] = HomeAssignment()
        return assignment

    def objects_by_service(self, newest: int) -> dict[str, list[str]]:
        """Return the ``newest`` known objects requested from this host's region, by service."""
        return {
            service: known.newest_of_region(self._region, newest)
            for service, known in self.known_by_service().items()
        }

    def known_by_service(self) -> dict[str, KnownObjects]:
        """Return the known objects by service."""
        return {service: homes.known for service, homes in self._homes_by_service.items()}

    def correct_homes(self) -> None:
        """Take a step towards the homes that all objects would get if they were assigned anew."""
        for homes in self._homes_by_service.values():
            homes.correct()

    def _best(
        self,
        request: RoutedRequest,
        home_candidates: list[TargetState],
        reachable: list[TargetState],
        now: float,
    ) -> Choice | None:
        """Return the cheapest of the ``reachable`` targets.

        The object's home is the first of its ranked targets that is in ``home_candidates``.
        """
        if request.object_key is None:
            return self._cheapest(reachable, None, None, now)
        home_by_id = {target.record.target_id: target for target in home_candidates}
        by_id = {target.record.target_id: target for target in reachable}
        assignment = self.homes_of(request.service)
        assignment.set_targets(self._regions_by_target(request.service, now))
        assignment.add_objects((request.object_key,), self._region)
        names = assignment.ranked_targets(request.object_key)
        home = next((home_by_id[name] for name in names if name in home_by_id), None)
        order = [by_id[name] for name in names if name in by_id]
        best = self._cheapest(order[:MAX_CANDIDATES], home, request.object_key, now)
        if best is None or home is None or not self._exceeds_overflow_cap(home, best, now):
            return best
        near = [target for target in order if target.region == self._region]
        nearest = self._cheapest(near[:MAX_CANDIDATES], home, request.object_key, now)
        if nearest is None or (nearest.queue_position and home.region != self._region):
            return best
        return nearest

    def _overload_of(self, request: RoutedRequest, best: Choice, now: float) -> Overload | None:
        late_s = now + self._expected_s(request, best) - request.admission_deadline
        if late_s > 0:
            return Overload(best, late_s, f"end this one {late_s:.2f} s too late")
        if not best.is_warm:
            return Overload(best, 0.0, "need a cold run for it")
        if not best.target.queue_limit.allows(best.queue_position):
            return Overload(best, 0.0, "let it wait in line in vain")
        return None

    def _all_busy(self, targets: Iterable[TargetState], best: Choice, now: float) -> bool:
        """Return whether all targets that the overflow cap lets the request go to are busy."""
        stays_local = best.target.region == self._region and not self._overflow.may_overflow(now)
        return all(
            target.queue_position(target.load(now))
            for target in targets
            if not stays_local or target.region == self._region
        )

    def _allows_send(self, target: TargetState, notices: TargetNotices, now: float) -> bool:
        if notices.pause is not None and not notices.pause.allows_send(now):
            return False
        limit = notices.rate_limit
        if limit is None or limit.per_s is None:
            return True
        share = fleet_share(
            limit.fleet_requests,
            target.record.target_id,
            self._members.own_host,
            self._members.members_by_host,
        )
        return limit.allows_send(share, now)

    def _exceeds_overflow_cap(self, home: TargetState, best: Choice, now: float) -> bool:
        """Return whether the request would leave this host's region beyond the overflow cap.

        That holds also if its home is elsewhere, as the homes of many objects may move at once.
        """
        if best.target.region == self._region:
            return False
        if home.region == self._region:
            return not self._overflow.may_overflow(now)
        return not self._overflow.may_follow_homes(now)

    def _cheapest(
        self,
        targets: Iterable[TargetState],
        home: TargetState | None,
        object_key: str | None,
        now: float,
    ) -> Choice | None:
        choices = (self._choice(target, home, object_key, now) for target in targets)
        return min(choices, key=_cost_of, default=None)

    def _choice(
        self,
        target: TargetState,
        home: TargetState | None,
        object_key: str | None,
        now: float,
    ) -> Choice:
        load = target.load(now)
        network = costs.network_cost(cross_region=target.region != self._region)
        run = costs.run_cost(target, home, object_key)
        queueing = costs.queueing_cost(target.queue_position(load), target.record.slots)
        is_warm = object_key is None or run < costs.COLD_RUN_COST
        return Choice(target, target is home, is_warm, load, network + run + queueing)

    def _regions_by_target(self, service: str, now: float) -> dict[str, str]:
        return {
            target.record.target_id: target.region
            for target in self._targets.eligible_targets(service)
            if not target.in_slow_start(now)
        }

    def _expected_s(self, request: RoutedRequest, choice: Choice) -> float:
        """Return the expected seconds at the target; 0 until enough runs are recorded."""
        typical_s = self._run_times.typical_s(request.service, request.route.name)
        if typical_s is None:
            return 0.0
        return costs.expected_s(choice.cost, typical_s, warm=request.object_key is not None)

    def _cheapest_in_slow_start(
        self, request: RoutedRequest, targets: Iterable[TargetState], now: float
    ) -> Choice | None:
        routing = self._configuration.routing
        service = None if routing is None else routing.services_by_name.get(request.service)
        if service is None:
            return None
        hosts = self._members.members_by_host.keys()
        within_limit = [
            target
            for target in targets
            if target.slow_start_sends.allows(
                self._slow_start_limit.allowance(
                    target.record.target_id, service.slow_start_rate_per_s, hosts
                ),
                now,
            )
        ]
        return self._cheapest(within_limit, None, None, now)


def _not_ejected(targets: list[TargetState], now: float) -> list[TargetState]:
    """Return the targets that are not ejected, or all of them if every one is ejected."""
    return [target for target in targets if not target.is_ejected(now)] or targets


def _untried(targets: Iterable[TargetState], tried: Collection[str]) -> list[TargetState]:
    return [target for target in targets if target.record.target_id not in tried]


def _cost_of(choice: Choice) -> float:
    return choice.cost
