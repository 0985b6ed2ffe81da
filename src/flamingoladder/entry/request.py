"""Callers' requests, as received and as routed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.memory.body import Content
from flamingoladder.verdict import Header

if TYPE_CHECKING:
    from flamingoladder.memory.reservation import Reservation
    from flamingoladder.poison.fingerprints import Fingerprints
    from flamingoladder.routing.model import Route
    from flamingoladder.routing.model import Workspace


# A refusal must be on its way before the attempt counts as one that timed out.
CONNECT_MARGIN_S = 0.02


class IncomingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as its caller sent it.

    ``headers`` are those to pass on, without the caller's API ``keys``. ``affinity_key`` names the
    object that the request concerns; ``caller_timeout_s`` is how long the caller waits, ``caller``
    the address that it sends from.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[Header, ...]
    body: Content
    keys: tuple[str, ...]
    affinity_key: str | None
    caller_timeout_s: float | None
    caller: str = ""


class RoutedRequest:
    """An admitted request with its route and service. Times are monotonic seconds.

    The caller is answered by ``deadline``. While all targets are busy, the request is sent only if
    it is expected to end by ``admission_deadline``. A target may work on it until
    ``target_deadline``, so that a non-idempotent request is not interrupted while its caller waits.
    Once ``caller_disconnected`` is set, the request is not sent to another target.
    ``routing_version`` is the version of the configuration that admitted it. ``reservation`` holds
    the memory of its body for as long as anything refers to the request.
    """

    __slots__ = (
        "admission_deadline",
        "caller_disconnected",
        "deadline",
        "fingerprints",
        "incoming",
        "object_key",
        "regions",
        "reservation",
        "route",
        "routing_version",
        "service",
        "started",
        "target_deadline",
        "workspace",
    )

    def __init__(
        self,
        *,
        incoming: IncomingRequest,
        route: Route,
        service: str,
        workspace: Workspace | None,
        regions: frozenset[str] | None,
        started: float,
        deadline: float,
        admission_deadline: float,
        target_deadline: float,
        fingerprints: Fingerprints,
        routing_version: int = 0,
    ) -> None:
        self.incoming = incoming
        self.route = route
        self.service = service
        self.workspace = workspace
        self.regions = regions
        self.started = started
        self.deadline = deadline
        self.admission_deadline = admission_deadline
        self.target_deadline = target_deadline
        self.fingerprints = fingerprints
        self.routing_version = routing_version
        self.caller_disconnected = False
        self.reservation: Reservation | None = None
        self.object_key = _object_key(route, incoming.affinity_key)

    @property
    def connect_by(self) -> float:
        """Return until when a request without a connection waits for one, in monotonic seconds.

        It ends before its answer is due, as one that had no connection certainly has not run.
        """
        return self.deadline - CONNECT_MARGIN_S

    @property
    def workspace_name(self) -> str | None:
        """Return the workspace's name, or None on a route that needs no key."""
        return None if self.workspace is None else self.workspace.name


def _object_key(route: Route, affinity_key: str | None) -> str | None:
    return f"{route.name}\0{affinity_key}" if route.sticky and affinity_key is not None else None
