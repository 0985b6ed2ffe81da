"""Validation of HTTP requests and their conversion to a CallerRequest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.gateway import request_parsing
from flamingoladder.gateway.dispatch_check import no_proof_refusal
from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.gateway.forwarding import forwarded_headers
from flamingoladder.gateway.forwarding import reject_misplaced_key
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.gateway.routing import find_route
from flamingoladder.memory.accounts import Account
from flamingoladder.memory.accounts import AccountKind
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.keys.authentication import KeyAuthenticator
    from flamingoladder.memory.body_reader import BodyReader

SERVICES_PREFIX = "/services/"


class RequestValidator:
    """Validator of requests against the state in force; ``host`` is this host's name."""

    __slots__ = ("_bodies", "_host", "_keys", "_state")

    def __init__(
        self, state: StateInForce, keys: KeyAuthenticator, host: str, bodies: BodyReader
    ) -> None:
        self._bodies = bodies
        self._state = state
        self._keys = keys
        self._host = host

    async def validate(
        self, request: web.BaseRequest, request_id: str, now: float
    ) -> CallerRequest:
        """Return the validated request under ``/services/``, received at ``now`` (monotonic s).

        :raises RefusedError: if a check fails.
        """
        state = self._require_state()
        defaults = state.deployment.defaults
        request_parsing.check_headers(request, defaults)
        service, raw_path = split_service_path(request)
        route = find_route(state.deployment, service, request.method, raw_path)
        key = request_parsing.bearer_key(request)
        grant = None if route.open else self.authenticate(key, now)
        deadline = request_parsing.request_deadline(request, route, defaults, now)
        idempotency_key = request_parsing.idempotency_key(request, route)
        read = await self._bodies.read(
            request, defaults.max_body_bytes, deadline, _accounts(request, grant)
        )
        if isinstance(read, Refusal):
            raise RefusedError(read)
        body, reservation = read
        path = _with_query(request, raw_path)
        reject_misplaced_key(key, body, (path, request_id, idempotency_key))
        return CallerRequest(
            request_id=request_id,
            service=service,
            route=route,
            method=request.method,
            path=path,
            headers=forwarded_headers(request.headers, key),
            body=body,
            digest=request_parsing.request_digest(request.method, path, body),
            deadline=deadline,
            workspace=grant.workspace if grant else None,
            key_id=grant.key_id if grant else None,
            idempotency_key=idempotency_key,
            fresh_key=request_parsing.is_fresh_key(request),
            reservation=reservation,
        )

    def authenticate(self, key: str | None, now: float) -> KeyGrant:
        """Return the grant of a caller's key.

        :raises RefusedError: if the key isn't granted, or this host has no proof that its state
            is the newest.
        """
        if not self._state.has_proof(now):
            raise RefusedError(no_proof_refusal(self._state, self._host))
        result = self._keys.authenticate(key)
        if result.is_error():
            raise RefusedError(result.error)
        return result.ok

    def _require_state(self) -> AgreedState:
        state = self._state.current
        if state is None:
            raise RefusedError(no_proof_refusal(self._state, self._host))
        return state


def split_service_path(request: web.BaseRequest) -> tuple[str, str]:
    """Return the service named in a path under ``/services/``, and the path for its upstream."""
    service, _, path = request.rel_url.raw_path.removeprefix(SERVICES_PREFIX).partition("/")
    return service, f"/{path}"


def _accounts(request: web.BaseRequest, grant: KeyGrant | None) -> tuple[Account, ...]:
    client = Account(AccountKind.CLIENT, request.remote or "")
    if grant is None:
        return (client,)
    return (client, Account(AccountKind.WORKSPACE, grant.workspace))


def _with_query(request: web.BaseRequest, raw_path: str) -> str:
    query = request.rel_url.raw_query_string
    return f"{raw_path}?{query}" if query else raw_path
