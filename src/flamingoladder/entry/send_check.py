"""Check of an admitted request immediately before it is sent to a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.routing.model import RoutingConfig
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.targets.state import TargetState

MOVED_ROUTE_RETRY_S = 0.05


class SendCheck:
    """Decides whether a request may still be sent after its wait for a connection.

    Its deadline may have passed meanwhile, its target left, and its key, route or service changed,
    most of all if the process was paused.
    """

    __slots__ = ("_configuration", "_targets")

    def __init__(self, configuration: ActiveConfiguration, targets: TargetRegistry) -> None:
        self._configuration = configuration
        self._targets = targets

    def refusal_of(self, request: RoutedRequest, target: TargetState, now: float) -> Refusal | None:
        """Return the refusal, or None if the request may be sent at ``now`` (monotonic seconds)."""
        if now >= request.connect_by:
            return Refusal.not_run(Reason.DEADLINE_PASSED, "the deadline passed before the send")
        registered = self._targets.by_id.get(target.record.target_id)
        if registered is not target or not self._targets.is_eligible(target):
            return Refusal.not_run(Reason.UPSTREAM_UNREACHABLE, "the target left before the send")
        if target.notices is not None and target.notices.rests(now):
            return Refusal.not_run(Reason.UPSTREAM_UNREACHABLE, "the target rests since the choice")
        routing = self._configuration.routing
        if routing is None or routing.version == request.routing_version:
            return None
        return _changed_route_refusal(request, routing)


def _changed_route_refusal(request: RoutedRequest, routing: RoutingConfig) -> Refusal | None:
    incoming = request.incoming
    route = routing.find_route(incoming.host, incoming.path)
    if route is None:
        return Refusal.not_run(Reason.UNKNOWN_ROUTE, "no route has this host and path any more")
    if request.service not in {share.service for share in route.shares}:
        detail = "the route has another service now"
        return Refusal.not_run(Reason.NO_CAPACITY, detail, MOVED_ROUTE_RETRY_S)
    if request.workspace is None:
        return None
    holder = routing.workspaces_by_key.get(incoming.keys[0])
    if holder is None or holder.name != request.workspace.name:
        return Refusal.not_run(Reason.KEY_UNKNOWN, "no workspace has this key any more")
    return None
