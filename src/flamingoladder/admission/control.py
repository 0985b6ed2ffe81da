"""Lets requests through to targets, and queues them while all targets are busy."""

from __future__ import annotations

import asyncio
from math import inf
from math import isinf
from typing import TYPE_CHECKING

from flamingoladder.admission.arrival import Arrival
from flamingoladder.admission.demand import DemandEstimate
from flamingoladder.admission.host_queue import LeaveReason
from flamingoladder.admission.queue_log import QueueLog
from flamingoladder.admission.queued_request import QueuedRequest
from flamingoladder.admission.refuser import Refuser
from flamingoladder.admission.service_admission import ServiceAdmission
from flamingoladder.admission.urgent_routes import UrgentRoutes
from flamingoladder.admission.waiting_requests import WaitingRequests
from flamingoladder.entry.load_balancer import Choice
from flamingoladder.entry.load_balancer import Overload
from flamingoladder.routing.model import priority_of

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.entry.load_balancer import LoadBalancer
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.limits.rate_limiter import FleetRateLimiter
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Refusal

DEMAND_INTERVAL_S = 0.5


class AdmissionControl:
    """Admits requests to targets in order of rank, fair share and wanted time.

    A returned ``Choice`` is counted as sent: pass it to ``release`` whatever comes of it.
    """

    __slots__ = (
        "_admission_by_service",
        "_balancer",
        "_configuration",
        "_demand",
        "_demand_updated_at",
        "_members",
        "_rate_limiter",
        "_refuser",
        "_urgent_routes",
        "_waiting",
    )

    def __init__(
        self,
        balancer: LoadBalancer,
        configuration: ActiveConfiguration,
        rate_limiter: FleetRateLimiter,
        members: MemberRegistry,
        recorder: Recorder,
    ) -> None:
        self._balancer = balancer
        self._configuration = configuration
        self._rate_limiter = rate_limiter
        self._members = members
        self._admission_by_service: dict[str, ServiceAdmission] = {}
        self._demand = DemandEstimate()
        self._demand_updated_at = -inf
        self._urgent_routes = UrgentRoutes()
        self._refuser = Refuser()
        self._waiting = WaitingRequests(balancer, members, self._refuser, QueueLog(recorder))

    @property
    def queued_by_workspace(self) -> Mapping[str, int]:
        """Return the number of queued requests by workspace."""
        return self._waiting.count_by_workspace()

    @property
    def refused_by_reason(self) -> Mapping[LeaveReason, int]:
        """Return the number of requests refused so far, by reason."""
        return self._refuser.refused_by_reason

    def arrive(self, request: RoutedRequest, now: float) -> Arrival:
        """Count an arrived request, and return it with what admission knows of it."""
        rank = priority_of(request.route, request.workspace)
        workspace = request.workspace_name or ""
        self._demand.record(request.service, rank, workspace, now)
        by_share = self._admission_of(request.service, now).take_share(rank, workspace, now)
        return Arrival(request, rank, self._refuser.take_repeat(request, now), by_share)

    async def admit(
        self, arrival: Arrival, tried: Collection[str]
    ) -> Choice | Overload | Refusal | None:
        """Return the target to send to, a refusal, or None if no target can take the request.

        While all targets are busy, the request may wait in the host's queue first.
        """
        now = asyncio.get_running_loop().time()
        admission = self._admission_of(arrival.request.service, now)
        choice = self._balancer.choose(arrival.request, tried, now)
        if choice is None:
            return None
        is_idle = not len(admission.queue)
        if isinstance(choice, Overload) or choice.all_busy:
            admission.note_busy(now)
            self._update_shares(admission, arrival.rank, now)
        elif is_idle and (not choice.queue_position or not admission.was_busy(now)):
            return self._waiting.count_send(admission, choice, now)
        if isinstance(choice, Overload) and (choice.late_s > 0 or is_idle):
            return choice
        # One that would need a cold run is not refused while those behind it wait for a slot.
        best = choice.best if isinstance(choice, Overload) else choice
        queued = self._queued(admission, arrival, best, tried)
        if admission.queue.has_ahead(queued):
            # A slot that this request sees goes to one that waits already.
            self._waiting.drain(admission, 1, now)
            choice = self._balancer.choose(arrival.request, tried, now)
        is_next = not admission.queue.has_ahead(queued)
        if is_next and isinstance(choice, Choice) and admission.may_send(queued, choice):
            return self._waiting.count_send(admission, choice, now)
        return await self._waiting.wait(admission, queued, now)

    def refuse_busy(self, arrival: Arrival, wait_s: float) -> float:
        """Record the refusal of a request that would be too late, and return its retry time."""
        now = asyncio.get_running_loop().time()
        refusal = self._refuser.refuse(arrival, LeaveReason.BUSY, wait_s, now)
        return refusal.retry_after_s or wait_s

    def record_run(self, request: RoutedRequest, choice: Choice, seconds: float) -> None:
        """Record the duration of a successful run."""
        admission = self._admission_by_service.get(request.service)
        if admission is not None and not choice.queue_position:
            admission.record_run(seconds)

    def record_end(self, arrival: Arrival, now: float) -> None:
        """Count a request that a target worked on."""
        self._admission_of(arrival.request.service, now).record_end(arrival.rank, now)

    def release(self, choice: Choice) -> None:
        """Count the end of an attempt, whatever came of it; its place goes to who waits for it."""
        self._waiting.release(choice)

    def drain(self) -> None:
        """Try queued requests again, as newer reports may show room."""
        self._waiting.drain_all()

    def stop(self) -> None:
        """Refuse all queued requests, and queue no more."""
        self._waiting.stop()

    def _admission_of(self, service: str, now: float) -> ServiceAdmission:
        admission = self._admission_by_service.get(service)
        if admission is None:
            admission = self._admission_by_service[service] = ServiceAdmission(service, now)
        return admission

    def _update_shares(self, admission: ServiceAdmission, rank: int, now: float) -> None:
        if now - self._demand_updated_at >= DEMAND_INTERVAL_S:
            self._demand_updated_at = now
            self._demand.set_reported(self._reported_demand(), self._members.host_count)
        admission.update_shares(rank, self._demand, now)

    def _reported_demand(self) -> dict[str, float]:
        """Return the reported demand of all hosts, without what is over the workspaces' rates."""
        routing = self._configuration.routing
        workspaces = {} if routing is None else routing.workspaces_by_name
        return {
            name: min(demand, workspaces[name].rate_per_s)
            for name, demand in self._rate_limiter.demand_by_workspace().items()
            if name in workspaces
        }

    def _queued(
        self,
        admission: ServiceAdmission,
        arrival: Arrival,
        choice: Choice,
        tried: Collection[str],
    ) -> QueuedRequest:
        request = arrival.request
        typical_run_s = self._balancer.typical_run_s
        if self._configuration.routing is not None:
            self._urgent_routes.update(self._configuration.routing)
        bearable_s = self._urgent_routes.bearable_wait_s(
            request.service, arrival.rank, typical_run_s
        )
        standing = admission.standing(arrival.repeat, arrival.by_share)
        max_wait_s = admission.max_wait_s(standing, bearable_s, choice.target.record.slots)
        typical_s = typical_run_s(request.service, request.route.name)
        at_target_s = admission.run_s(typical_s) + (0.0 if isinf(max_wait_s) else max_wait_s)
        prompt_by = arrival.wanted_at - at_target_s
        leave_by = min(request.admission_deadline, request.deadline) - (typical_s or 0.0)
        return QueuedRequest(
            arrival,
            standing,
            max_wait_s,
            prompt_by=prompt_by,
            leave_by=leave_by,
            target_id=choice.target.record.target_id,
            tried=tuple(tried),
        )
