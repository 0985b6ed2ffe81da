"""A caller's request on its way to a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.verdict import Header

if TYPE_CHECKING:
    from flamingoladder.routing.model import Route
    from flamingoladder.routing.model import Workspace


class ArrivedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as its caller sent it.

    ``headers`` are those that may go on; the caller's ``keys`` are not among them. ``affinity``
    names the object that it concerns, ``patience_s`` is how long the caller waits.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    keys: tuple[str, ...]
    affinity: str | None
    patience_s: float | None


class RoutedRequest:
    """A request that may be served. Times are monotonic seconds.

    By ``deadline`` the caller is answered. While all targets are busy, the request is sent only if
    it is expected to end by ``wanted_by``. Work that a target has begun may go on until
    ``work_until``: what is not idempotent is not broken off half way while its caller waits.
    Once ``caller_left`` is set the request is sent to no further target.
    """

    __slots__ = (
        "arrived",
        "caller_left",
        "deadline",
        "fingerprint",
        "object_key",
        "regions",
        "route",
        "service",
        "started",
        "wanted_by",
        "work_until",
        "workspace",
    )

    def __init__(
        self,
        *,
        arrived: ArrivedRequest,
        route: Route,
        service: str,
        workspace: Workspace | None,
        regions: frozenset[str] | None,
        started: float,
        deadline: float,
        wanted_by: float,
        work_until: float,
        fingerprint: str,
    ) -> None:
        self.arrived = arrived
        self.route = route
        self.service = service
        self.workspace = workspace
        self.regions = regions
        self.started = started
        self.deadline = deadline
        self.wanted_by = wanted_by
        self.work_until = work_until
        self.fingerprint = fingerprint
        self.caller_left = False
        self.object_key = _object_key(route, arrived.affinity)

    @property
    def workspace_name(self) -> str | None:
        """Return the workspace's name, or None on a route that is open to all."""
        return None if self.workspace is None else self.workspace.name


def _object_key(route: Route, affinity: str | None) -> str | None:
    return f"{route.name}\0{affinity}" if route.sticky and affinity is not None else None
