"""Decides what becomes of a caller's request."""

from __future__ import annotations

import asyncio
from traceback import format_exc
from typing import TYPE_CHECKING

import xxhash
from expression import Error

from flamingoladder.entry.request import RoutedRequest
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.entry.beliefs import Beliefs
    from flamingoladder.entry.crashes import CrashGuard
    from flamingoladder.entry.forwarder import Forwarder
    from flamingoladder.entry.request import ArrivedRequest
    from flamingoladder.limits.rate_limiter import FleetRateLimiter
    from flamingoladder.routing.model import Route
    from flamingoladder.routing.model import RoutingConfig
    from flamingoladder.routing.model import Workspace
    from flamingoladder.routing.traffic_split import TrafficSplitter
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome

NO_CONFIGURATION_RETRY_S = 0.5
CRASHING_RETRY_S = 30.0
LEAST_LATENESS = 0.5
FAULT_DETAIL = "a fault in this host; its log has the error"


class RequestHandler:
    """Checks route, key, limits and deadline, and has the request forwarded."""

    __slots__ = ("_beliefs", "_crashes", "_forwarder", "_rates", "_recorder", "_splits", "_tasks")

    def __init__(
        self,
        beliefs: Beliefs,
        rates: FleetRateLimiter,
        splits: TrafficSplitter,
        crashes: CrashGuard,
        forwarder: Forwarder,
        recorder: Recorder,
    ) -> None:
        self._beliefs = beliefs
        self._rates = rates
        self._splits = splits
        self._crashes = crashes
        self._forwarder = forwarder
        self._recorder = recorder
        self._tasks: set[asyncio.Task[Outcome]] = set()

    async def handle(self, arrived: ArrivedRequest, started: float) -> Outcome:
        """Return the outcome of a request that was read whole.

        A non-idempotent request that was sent runs on when its caller leaves, but is sent no more.
        """
        loop = asyncio.get_running_loop()
        found = self._admit(arrived, started, loop.time())
        if isinstance(found, Refusal):
            self._record(arrived, found)
            return Error(found)
        if found.route.idempotent:
            return await self._forward(found)
        task = asyncio.create_task(self._forward(found))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            found.caller_left = True
            raise

    async def _forward(self, request: RoutedRequest) -> Outcome:
        try:
            outcome = await self._forwarder.forward(request)
        except Exception as error:
            self._recorder.record(
                "request.failed",
                request=request.arrived.request_id,
                error=f"{type(error).__name__}: {error}",
                trace=format_exc(),
            )
            outcome = Error(Refusal.may_have_run(Reason.INTERNAL_ERROR, FAULT_DETAIL))
        if outcome.is_error():
            self._give_back(request, outcome.error)
            self._record(request.arrived, outcome.error, request)
        return outcome

    def _give_back(self, request: RoutedRequest, refusal: Refusal) -> None:
        if request.workspace is not None and refusal.verdict is Verdict.NOT_RUN:
            self._rates.refund(request.workspace)

    def _admit(
        self, arrived: ArrivedRequest, started: float, now: float
    ) -> RoutedRequest | Refusal:
        plan = self._beliefs.plan
        if plan is None:
            detail = "this host has no configuration yet"
            return Refusal.not_run(Reason.NO_PROOF, detail, NO_CONFIGURATION_RETRY_S)
        route = plan.find_route(arrived.host, arrived.path)
        if route is None:
            return Refusal.not_run(Reason.UNKNOWN_ROUTE, "no route has this host and path")
        workspace = _workspace(plan, route, arrived)
        if isinstance(workspace, Refusal):
            return workspace
        patience_s = arrived.patience_s or route.timeout_s
        deadline = started + min(route.timeout_s, patience_s)
        if now >= deadline:
            return Refusal.not_run(Reason.DEADLINE_PASSED, "the deadline has passed")
        fingerprint = _fingerprint(arrived, workspace)
        if self._crashes.refuses(fingerprint, now):
            detail = "requests like this took down their targets"
            return Refusal.not_run(Reason.REQUEST_CRASHES_UPSTREAMS, detail, CRASHING_RETRY_S)
        over = None if workspace is None else self._rates.admit(workspace, now)
        if over is not None:
            return Refusal.not_run(Reason.RATE_EXCEEDED, f"over its rate: {over}", over.wait_s)
        return RoutedRequest(
            arrived=arrived,
            route=route,
            service=self._splits.choose_service(route, arrived.affinity or arrived.request_id),
            workspace=workspace,
            regions=_regions(route, workspace),
            started=started,
            deadline=deadline,
            wanted_by=_wanted_by(plan, route, workspace, started, deadline),
            work_until=deadline if route.idempotent else started + patience_s,
            fingerprint=fingerprint,
        )

    def _record(
        self, arrived: ArrivedRequest, refusal: Refusal, routed: RoutedRequest | None = None
    ) -> None:
        plan = self._beliefs.plan
        self._recorder.record(
            "request.refused",
            request=arrived.request_id,
            workspace=None if routed is None else routed.workspace_name,
            route=None if routed is None else routed.route.name,
            service=None if routed is None else routed.service,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            version=None if plan is None else plan.version,
        )


def _workspace(
    plan: RoutingConfig, route: Route, arrived: ArrivedRequest
) -> Workspace | Refusal | None:
    if route.open or not plan.workspaces_by_name:
        return None
    if len(arrived.keys) != 1:
        return Refusal.not_run(Reason.KEY_MISSING, "this route asks for one key")
    workspace = plan.workspaces_by_key.get(arrived.keys[0])
    if workspace is None:
        return Refusal.not_run(Reason.KEY_UNKNOWN, "no workspace has this key")
    return workspace


def _wanted_by(
    plan: RoutingConfig, route: Route, workspace: Workspace | None, started: float, deadline: float
) -> float:
    """Return a time between aim and deadline: half way, and later for more urgent requests."""
    aim = min(started + route.latency_slo_s, deadline)
    lateness = LEAST_LATENESS + (1.0 - LEAST_LATENESS) * plan.urgency(route, workspace)
    return aim + lateness * (deadline - aim)


def _regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    allowed = [route.regions, workspace.regions if workspace is not None else frozenset()]
    bounds = [regions for regions in allowed if regions]
    return frozenset.intersection(*bounds) if bounds else None


def _fingerprint(arrived: ArrivedRequest, workspace: Workspace | None) -> str:
    digest = xxhash.xxh3_128(arrived.body)
    name = "" if workspace is None else workspace.name
    digest.update(f"\0{arrived.method}\0{arrived.host}\0{arrived.path}\0{name}".encode())
    return digest.hexdigest()
