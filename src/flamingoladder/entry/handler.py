"""Admits callers' requests and passes them to the forwarder."""

from __future__ import annotations

import asyncio
from traceback import format_exc
from typing import TYPE_CHECKING

import msgspec
from expression import Error

from flamingoladder.entry.request import RoutedRequest
from flamingoladder.poison.fingerprints import fingerprints_of
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.entry.forwarder import Forwarder
    from flamingoladder.entry.request import IncomingRequest
    from flamingoladder.limits.rate_limiter import FleetRateLimiter
    from flamingoladder.memory.body import Content
    from flamingoladder.poison.fingerprints import Fingerprints
    from flamingoladder.poison.upkeep import PoisonUpkeep
    from flamingoladder.routing.model import Route
    from flamingoladder.routing.model import RoutingConfig
    from flamingoladder.routing.model import Workspace
    from flamingoladder.routing.traffic_split import TrafficSplitter
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome

NO_CONFIGURATION_RETRY_S = 0.5
NOT_INFORMED_RETRY_S = 0.25
# Fields that a caller sends alike with each repeat of a request.
CALLER_FIELDS = frozenset({"authorization", "cookie", "user-agent"})
# Fraction of the time from the latency SLO to the deadline. Admission only up to the SLO itself
# gave lower scores.
MIN_ADMISSION_FRACTION = 0.5
FAULT_DETAIL = "a fault in this host; its log has the error"


class RequestHandler:
    """Checks route, key, deadline and rate limit, and passes the request to the forwarder."""

    __slots__ = (
        "_configuration",
        "_forwarder",
        "_poison_upkeep",
        "_rate_limiter",
        "_recorder",
        "_splitter",
        "_tasks",
    )

    def __init__(
        self,
        configuration: ActiveConfiguration,
        rate_limiter: FleetRateLimiter,
        splitter: TrafficSplitter,
        poison_upkeep: PoisonUpkeep,
        forwarder: Forwarder,
        recorder: Recorder,
    ) -> None:
        self._configuration = configuration
        self._rate_limiter = rate_limiter
        self._splitter = splitter
        self._poison_upkeep = poison_upkeep
        self._forwarder = forwarder
        self._recorder = recorder
        self._tasks: set[asyncio.Task[Outcome]] = set()

    async def handle(self, incoming: IncomingRequest, started: float) -> Outcome:
        """Return the outcome of a request whose body was read completely."""
        admitted = self.admit(incoming, started)
        if isinstance(admitted, Refusal):
            return Error(admitted)
        return await self.run(admitted, incoming.body)

    def admit(self, head: IncomingRequest, started: float) -> RoutedRequest | Refusal:
        """Return the routed request, or its refusal, which is recorded; the body may be unread."""
        admitted = self._admit(head, started, asyncio.get_running_loop().time())
        if isinstance(admitted, Refusal):
            self._record(head, admitted)
        return admitted

    def refuse(self, admitted: RoutedRequest, refusal: Refusal) -> None:
        """Record that an admitted request is refused, as its body was not received."""
        self._refund(admitted, refusal)
        self._record(admitted.incoming, refusal, admitted)

    def abandon(self, admitted: RoutedRequest) -> None:
        """Give back what an admitted request took whose caller left before its body was whole."""
        if admitted.workspace is not None:
            self._rate_limiter.refund(admitted.workspace)

    async def run(self, admitted: RoutedRequest, body: Content) -> Outcome:
        """Return the outcome of an admitted request with its whole body.

        If the caller disconnects, an idempotent request is cancelled. A non-idempotent one that was
        sent runs on, but is not retried.
        """
        if body is not admitted.incoming.body:
            admitted.incoming = msgspec.structs.replace(admitted.incoming, body=body)
        admitted.fingerprints = _fingerprints(admitted.incoming, admitted.workspace)
        if admitted.route.idempotent:
            return await self._forward(admitted)
        task = asyncio.create_task(self._forward(admitted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            admitted.caller_disconnected = True
            raise

    async def _forward(self, request: RoutedRequest) -> Outcome:
        try:
            outcome = await self._forwarder.forward(request)
        except Exception as error:
            self._recorder.record(
                "request.failed",
                request=request.incoming.request_id,
                error=f"{type(error).__name__}: {error}",
                trace=format_exc(),
            )
            outcome = Error(Refusal.may_have_run(Reason.INTERNAL_ERROR, FAULT_DETAIL))
        if outcome.is_error():
            self._refund(request, outcome.error)
            self._record(request.incoming, outcome.error, request)
        return outcome

    def _refund(self, request: RoutedRequest, refusal: Refusal) -> None:
        if request.workspace is not None and refusal.verdict is Verdict.NOT_RUN:
            self._rate_limiter.refund(request.workspace)

    def _admit(
        self, incoming: IncomingRequest, started: float, now: float
    ) -> RoutedRequest | Refusal:
        routing = self._configuration.routing
        if routing is None:
            detail = "this host has no configuration yet"
            return Refusal.not_run(Reason.NO_PROOF, detail, NO_CONFIGURATION_RETRY_S)
        if not self._poison_upkeep.is_informed:
            detail = "this host has not yet heard which requests crash targets"
            return Refusal.not_run(Reason.NO_PROOF, detail, NOT_INFORMED_RETRY_S)
        route = routing.find_route(incoming.host, incoming.path)
        if route is None:
            return Refusal.not_run(Reason.UNKNOWN_ROUTE, "no route has this host and path")
        workspace = _workspace(routing, route, incoming)
        if isinstance(workspace, Refusal):
            return workspace
        caller_timeout_s = incoming.caller_timeout_s or route.timeout_s
        deadline = started + min(route.timeout_s, caller_timeout_s)
        if now >= deadline:
            return Refusal.not_run(Reason.DEADLINE_PASSED, "the deadline has passed")
        rate_refusal = None if workspace is None else self._rate_limiter.admit(workspace, now)
        if rate_refusal is not None:
            return Refusal.not_run(
                Reason.RATE_EXCEEDED, f"over its rate: {rate_refusal}", rate_refusal.wait_s
            )
        return RoutedRequest(
            incoming=incoming,
            route=route,
            service=self._splitter.choose_service(
                route, incoming.affinity_key or incoming.request_id
            ),
            workspace=workspace,
            regions=_regions(route, workspace),
            started=started,
            deadline=deadline,
            admission_deadline=_admission_deadline(routing, route, workspace, started, deadline),
            target_deadline=deadline if route.idempotent else started + caller_timeout_s,
            fingerprints=(),
            routing_version=routing.version,
        )

    def _record(
        self, incoming: IncomingRequest, refusal: Refusal, routed: RoutedRequest | None = None
    ) -> None:
        routing = self._configuration.routing
        self._recorder.record(
            "request.refused",
            request=incoming.request_id,
            workspace=None if routed is None else routed.workspace_name,
            route=None if routed is None else routed.route.name,
            service=None if routed is None else routed.service,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            version=None if routing is None else routing.version,
        )


def _workspace(
    routing: RoutingConfig, route: Route, incoming: IncomingRequest
) -> Workspace | Refusal | None:
    if route.open or not routing.workspaces_by_name:
        return None
    if len(incoming.keys) != 1:
        return Refusal.not_run(Reason.KEY_MISSING, "this route asks for one key")
    workspace = routing.workspaces_by_key.get(incoming.keys[0])
    if workspace is None:
        return Refusal.not_run(Reason.KEY_UNKNOWN, "no workspace has this key")
    return workspace


def _admission_deadline(
    routing: RoutingConfig,
    route: Route,
    workspace: Workspace | None,
    started: float,
    deadline: float,
) -> float:
    """Return a time between the latency SLO and the deadline.

    It is halfway between them for the least urgent requests and later for more urgent ones.
    """
    slo_deadline = min(started + route.latency_slo_s, deadline)
    fraction = MIN_ADMISSION_FRACTION + (1.0 - MIN_ADMISSION_FRACTION) * routing.urgency(
        route, workspace
    )
    return slo_deadline + fraction * (deadline - slo_deadline)


def _regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    allowed = [route.regions, workspace.regions if workspace is not None else frozenset()]
    limits = [regions for regions in allowed if regions]
    return frozenset.intersection(*limits) if limits else None


def _fingerprints(incoming: IncomingRequest, workspace: Workspace | None) -> Fingerprints:
    name = "" if workspace is None else workspace.name
    names = (name, incoming.method, incoming.host, incoming.path)
    fields = [of.value for of in incoming.headers if of.name.lower() in CALLER_FIELDS]
    identities = ((*incoming.keys, *fields), (incoming.caller,))
    return fingerprints_of(names, incoming.body, identities)
