"""The checks that turn an HTTP request into a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.gateway import intake
from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.gateway.forwarding import check_key_is_nowhere_else
from flamingoladder.gateway.forwarding import forwarded_headers
from flamingoladder.gateway.permission import no_proof
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.gateway.routing import find_route

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.keys.authentication import KeyAuthenticator

SERVICES = "/services/"


class RequestChecks:
    """Checks requests against the state in force; ``host`` is this host's name."""

    __slots__ = ("_host", "_keys", "_state")

    def __init__(self, state: StateInForce, keys: KeyAuthenticator, host: str) -> None:
        self._state = state
        self._keys = keys
        self._host = host

    async def check(self, request: web.BaseRequest, request_id: str, now: float) -> CallerRequest:
        """Return the request under ``/services/``, received at ``now`` (monotonic seconds).

        :raises RefusedError: if a check fails.
        """
        state = self._known_state()
        defaults = state.deployment.defaults
        intake.check_headers(request, defaults)
        service, raw_path = service_and_path(request)
        route = find_route(state.deployment, service, request.method, raw_path)
        key = intake.bearer_key(request)
        grant = None if route.open else self.grant_of(key, now)
        deadline = intake.deadline_s(request, route, defaults, now)
        idempotency_key = intake.idempotency_key(request, route)
        body = await intake.read_body(request, defaults.max_body_bytes, deadline)
        path = _with_query(request, raw_path)
        check_key_is_nowhere_else(key, body, (path, request_id, idempotency_key))
        return CallerRequest(
            request_id=request_id,
            service=service,
            route=route,
            method=request.method,
            path=path,
            headers=forwarded_headers(request.headers, key),
            body=body,
            digest=intake.digest_of_request(request.method, path, body),
            deadline=deadline,
            workspace=grant.workspace if grant else None,
            key_id=grant.key_id if grant else None,
            idempotency_key=idempotency_key,
            fresh_key=intake.is_fresh_key(request),
        )

    def grant_of(self, key: str | None, now: float) -> KeyGrant:
        """Return the grant of a caller's key.

        :raises RefusedError: if it isn't granted, or this host can't be sure that it is.
        """
        if not self._state.has_proof(now):
            raise RefusedError(no_proof(self._state, self._host))
        checked = self._keys.authenticate(key)
        if checked.is_error():
            raise RefusedError(checked.error)
        return checked.ok

    def _known_state(self) -> AgreedState:
        state = self._state.current
        if state is None:
            raise RefusedError(no_proof(self._state, self._host))
        return state


def service_and_path(request: web.BaseRequest) -> tuple[str, str]:
    """Return the service of a request under ``/services/`` and the path at its upstream."""
    service, _, path = request.rel_url.raw_path.removeprefix(SERVICES).partition("/")
    return service, f"/{path}"


def _with_query(request: web.BaseRequest, raw_path: str) -> str:
    query = request.rel_url.raw_query_string
    return f"{raw_path}?{query}" if query else raw_path
