"""Chooses the target that is expected to complete a request first."""

from __future__ import annotations

from itertools import islice
from random import Random
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.entry import costs
from flamingoladder.entry.new_homes import NewHomes
from flamingoladder.entry.object_demand import ObjectDemand
from flamingoladder.entry.request_targets import RequestTargets
from flamingoladder.entry.send_limits import SendLimits
from flamingoladder.entry.service_targets import ServiceTargetsCache
from flamingoladder.entry.target_choice import Choice
from flamingoladder.entry.target_choice import Overload
from flamingoladder.entry.target_choice import TargetComparison
from flamingoladder.entry.warm_ratio import WarmRatio
from flamingoladder.steering.home_assignment import HomeAssignment
from flamingoladder.steering.overflow_cap import OverflowCap
from flamingoladder.steering.target_rankings import ALL_REGIONS
from flamingoladder.targets.run_times import RunTimes

if TYPE_CHECKING:
    from collections.abc import Collection

    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.entry.costs import RunCosts
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.entry.service_targets import ServiceTargets
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.steering.known_objects import KnownObjects
    from flamingoladder.steering.known_objects import ObjectKey
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.slow_start import SlowStartLimit
    from flamingoladder.targets.state import TargetState

# The number of targets, highest ranked first, that are compared for a request.
MAX_CANDIDATES = 4
# The number of targets that are compared for a request without an object, unless all are busy.
MAX_COMPARED = 48


class LoadBalancer:
    """Chooses by network cost, queue length and whether the target recently handled the object."""

    __slots__ = (
        "_failure_domain",
        "_homes_by_service",
        "_limits",
        "_new_homes",
        "_overflow",
        "_random",
        "_region",
        "_run_times",
        "_service_targets",
        "_warm_ratios_by_service",
        "demand",
    )

    def __init__(
        self,
        targets: TargetRegistry,
        configuration: ActiveConfiguration,
        members: MemberRegistry,
        slow_start_limit: SlowStartLimit,
        region: str,
        failure_domain: str = "",
    ) -> None:
        self._limits = SendLimits(configuration, members, slow_start_limit)
        self._region = region
        self._failure_domain = failure_domain
        self._homes_by_service: dict[str, HomeAssignment] = {}
        self._run_times = RunTimes()
        self._overflow = OverflowCap()
        self._service_targets = ServiceTargetsCache(targets)
        self._random = Random()
        self._warm_ratios_by_service: dict[str, WarmRatio] = {}
        self._new_homes = NewHomes(self._random)
        self.demand = ObjectDemand(self._service_targets, self.homes_of)

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
        service = self._service_targets.get(request.service, now)
        if request.object_key is not None and not tried:
            typical_s = self._run_times.typical_s(request.service, request.route.name)
            self.demand.add(request.service, request.object_key, typical_s or 0.0, now)
        targets = RequestTargets(service, request, tried, self._limits.allows_send, now)
        compare = self._comparison(request, service, now)
        best = self._best(request, service, targets, compare, now)
        if best is None:
            starting = targets.untried_starting()
            within_limit = self._limits.within_slow_start(request.service, starting, now)
            return compare.without_object().cheapest(within_limit)
        if not self._all_busy(targets, best, now):
            return best
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
            for target in self._service_targets.get(request.service, now).eligible
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
        key, route = request.object_key, request.route.name
        if key is not None:
            choice.target.record_object(key)
        if choice.queue_position:
            return
        # The expected duration is multiplied by the pace of the target that is chosen.
        usual_s = seconds / choice.pace
        if choice.is_home or key is None or self._costs_of(request) is costs.EVEN_RUN_COSTS:
            self._run_times.record(request.service, route, usual_s)
        is_cold = not choice.handled and (choice.is_new or not choice.is_home)
        if key is not None and (choice.handled or is_cold):
            ratio = self._warm_ratios_by_service.setdefault(request.service, WarmRatio())
            ratio.record(route, usual_s, warm=choice.handled)

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

    def correct_homes(self) -> bool:
        """Take a step towards the homes that follow from the present targets and objects.

        Return whether there are more to take.
        """
        goes_on = [homes.correct() for homes in self._homes_by_service.values()]
        return any(goes_on)

    def _comparison(
        self, request: RoutedRequest, service: ServiceTargets, now: float
    ) -> TargetComparison:
        run_costs = self._costs_of(request)
        key = None if run_costs is costs.EVEN_RUN_COSTS else request.object_key
        has_near = self._failure_domain in service.failure_domains
        near_domain = self._failure_domain if has_near else None
        body_bytes = len(request.incoming.body)
        network_costs = costs.NetworkCosts(self._region, near_domain, body_bytes)
        return TargetComparison(run_costs, network_costs, key, now)

    def _best(
        self,
        request: RoutedRequest,
        service: ServiceTargets,
        targets: RequestTargets,
        compare: TargetComparison,
        now: float,
    ) -> Choice | None:
        """Return the cheapest of the reachable targets."""
        key = request.object_key
        if key is None:
            return self._best_without_object(service, targets, compare)
        homes = self.homes_of(request.service)
        homes.set_targets(service.regions_by_target, service.slots_by_target)
        is_new = key not in homes.known
        homes.add_objects((key,), self._region)
        if compare.run_costs is costs.EVEN_RUN_COSTS:
            best = self._best_by_load(service, targets, compare, now)
        else:
            best = self._best_for_object(key, homes, targets, compare, now)
        return best and _with_history(best, key, is_new=is_new)

    def _best_for_object(
        self,
        key: ObjectKey,
        homes: HomeAssignment,
        targets: RequestTargets,
        compare: TargetComparison,
        now: float,
    ) -> Choice | None:
        """Return the cheapest of the object's highest ranked targets, its home first.

        Of several homes it is the less loaded of two, as far as they are warm. If none may be the
        home for this request, it is the first of its ranked targets that may.
        """
        own = list(filter(None, map(targets.home_candidate, homes.homes(key))))
        if len(own) > 1:
            home: TargetState | None = compare.less_loaded(self._new_homes.draw(key, own, now))
        else:
            candidates = map(targets.home_candidate, homes.ranked_targets(key))
            home = next(filter(None, candidates), None)
        first = _first_ranked(homes, key, targets)
        if home is not None and home not in first and targets.is_reachable(home):
            first = [home, *first[: MAX_CANDIDATES - 1]]
        best = compare.cheapest(first, home)
        if best is None or home is None or not self._exceeds_overflow_cap(home, best, now):
            return best
        nearest = compare.cheapest(_first_ranked(homes, key, targets, self._region), home)
        if nearest is None or (nearest.queue_position and home.region != self._region):
            return best
        return nearest

    def _best_by_load(
        self,
        service: ServiceTargets,
        targets: RequestTargets,
        compare: TargetComparison,
        now: float,
    ) -> Choice | None:
        """Return the cheapest of some targets, drawn at random so that hosts don't all choose one.

        Beyond the overflow cap it is one of this host's region, if one can take the request.
        """
        drawn = self._random.sample(service.started, min(MAX_COMPARED, len(service.started)))
        reachable = list(filter(targets.is_reachable, drawn))
        best = compare.cheapest(reachable)
        if best is None or best.queue_position:
            reachable = list(targets.reachable())
            best = compare.cheapest(reachable)
        if best is None or best.target.region == self._region or self._overflow.may_overflow(now):
            return best
        near = (target for target in reachable if target.region == self._region)
        return compare.cheapest(near) or best

    def _best_without_object(
        self, service: ServiceTargets, targets: RequestTargets, compare: TargetComparison
    ) -> Choice | None:
        """Return the cheapest target, of some drawn at random if there are many.

        If all that were drawn are busy, all targets are compared.
        """
        if len(service.started) > MAX_COMPARED:
            drawn = self._random.sample(service.started, MAX_COMPARED)
            best = compare.cheapest(filter(targets.is_reachable, drawn))
            if best is not None and not best.queue_position:
                return best
        return compare.cheapest(targets.reachable())

    def _overload_of(self, request: RoutedRequest, best: Choice, now: float) -> Overload | None:
        late_s = now + self._expected_s(request, best) - request.admission_deadline
        if late_s > 0:
            return Overload(best, late_s, f"end this one {late_s:.2f} s too late")
        if not best.is_warm:
            return Overload(best, 0.0, "need a cold run for it")
        if not best.target.queue_limit.allows(best.queue_position):
            return Overload(best, 0.0, "let it wait in line in vain")
        return None

    def _all_busy(self, targets: RequestTargets, best: Choice, now: float) -> bool:
        """Return whether all targets that the overflow cap lets the request go to are busy."""
        if not best.queue_position:
            return False
        stays_local = best.target.region == self._region and not self._overflow.may_overflow(now)
        return all(
            target.queue_position(target.load(now))
            for target in targets.reachable_unfilled()
            if not stays_local or target.region == self._region
        )

    def _exceeds_overflow_cap(self, home: TargetState, best: Choice, now: float) -> bool:
        """Return whether the request would leave this host's region beyond the overflow cap.

        That holds also if its home is elsewhere, as the homes of many objects may move at once.
        """
        if best.target.region == self._region:
            return False
        if home.region == self._region:
            return not self._overflow.may_overflow(now)
        return not self._overflow.may_follow_homes(now)

    def _expected_s(self, request: RoutedRequest, choice: Choice) -> float:
        """Return the expected seconds at the target; 0 until enough runs are recorded."""
        typical_s = self._run_times.typical_s(request.service, request.route.name)
        if typical_s is None:
            return 0.0
        run_costs = self._costs_of(request)
        is_warm = request.object_key is not None and run_costs is not costs.EVEN_RUN_COSTS
        return run_costs.expected_s(choice.cost, typical_s, warm=is_warm)

    def _costs_of(self, request: RoutedRequest) -> RunCosts:
        ratio = self._warm_ratios_by_service.get(request.service)
        if request.object_key is None or ratio is None:
            return costs.USUAL_RUN_COSTS
        return ratio.run_costs()


def _first_ranked(
    homes: HomeAssignment, key: ObjectKey, targets: RequestTargets, region: str = ALL_REGIONS
) -> list[TargetState]:
    """Return the highest ranked reachable targets, the home first."""
    reachable = map(targets.reachable_target, homes.ranked_targets(key, region))
    return list(islice(filter(None, reachable), MAX_CANDIDATES))


def _with_history(choice: Choice, key: ObjectKey, *, is_new: bool) -> Choice:
    handled = choice.target.recently_handled(key)
    if not handled and not is_new:
        return choice
    return msgspec.structs.replace(choice, handled=handled, is_new=is_new)
