"""A caller's request, as the gateway passes it to the other packages."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.config.model import Route
    from flamingoladder.memory.body import Content
    from flamingoladder.memory.reservation import Reservation
    from flamingoladder.verdict import Header


class CallerRequest:
    """A validated request.

    ``headers`` are forwarded to the upstream and never contain the caller's key. ``deadline`` is
    monotonic time in seconds. ``workspace`` and ``key_id`` are None on a route that is open to all.
    ``path`` is the path for the upstream, with the query. ``digest`` is the hex digest of method,
    path and body. ``fresh_key`` is the caller's statement that every earlier request with this
    idempotency key, if any, was answered ``not_run``, and that it sends no other such request
    before this one is answered. ``reservation`` holds the memory of the body for as long as
    anything refers to the request.
    """

    __slots__ = (
        "body",
        "deadline",
        "digest",
        "fresh_key",
        "headers",
        "idempotency_key",
        "key_id",
        "method",
        "path",
        "request_id",
        "reservation",
        "route",
        "service",
        "workspace",
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: str,
        route: Route,
        method: str,
        path: str,
        headers: tuple[Header, ...],
        body: Content,
        digest: str,
        deadline: float,
        workspace: str | None,
        key_id: str | None,
        idempotency_key: str | None,
        fresh_key: bool = False,
        reservation: Reservation | None = None,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.route = route
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.digest = digest
        self.deadline = deadline
        self.workspace = workspace
        self.key_id = key_id
        self.idempotency_key = idempotency_key
        self.fresh_key = fresh_key
        self.reservation = reservation
