"""The path of a caller's request through the stages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok

from flamingoladder import fields
from flamingoladder.gateway.forwarding import forwarded_headers
from flamingoladder.gateway.forwarding import refusal_of_misplaced_key
from flamingoladder.gateway.intake import bearer_key
from flamingoladder.gateway.intake import deadline_s
from flamingoladder.gateway.intake import digest_of_request
from flamingoladder.gateway.intake import is_usable_id
from flamingoladder.gateway.intake import read_body
from flamingoladder.gateway.intake import refusal_of_headers
from flamingoladder.gateway.permission import KeyedPermission
from flamingoladder.gateway.permission import no_proof
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.gateway.routing import find_route
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import web
    from expression import Result

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.config.model import Route
    from flamingoladder.gateway.in_progress import InProgress
    from flamingoladder.gateway.stages import GatewayStages
    from flamingoladder.verdict import Outcome

FAULT_DETAIL = "a fault in this host; its time line has the error"


class RequestHandler:
    """Takes requests through the checks, the admission and the dispatch."""

    __slots__ = ("_in_progress", "_permission", "_stages", "_tasks")

    def __init__(self, stages: GatewayStages, in_progress: InProgress) -> None:
        self._stages = stages
        self._in_progress = in_progress
        self._permission = KeyedPermission(stages.state, stages.keys, stages.recorder.host)
        self._tasks: set[asyncio.Task[Outcome]] = set()

    async def handle(self, request: web.BaseRequest, request_id: str, now: float) -> Outcome:
        """Return the outcome of a request under ``/services/``.

        A fault in a stage becomes a refusal of this request alone.
        """
        try:
            admitted = await self._check_and_admit(request, request_id, now)
        except Exception as error:
            self._record_fault(request_id, error)
            return Error(Refusal.not_run(Reason.INTERNAL_ERROR, FAULT_DETAIL))
        if admitted.is_error():
            self._record_refusal(request_id, None, admitted.error)
            return Error(admitted.error)
        try:
            outcome = await self._run(admitted.ok)
        except Exception as error:
            self._record_fault(request_id, error)
            return Error(Refusal.may_have_run(Reason.INTERNAL_ERROR, FAULT_DETAIL))
        self._record_outcome(admitted.ok, outcome)
        return outcome

    def authorize(self, request: web.BaseRequest, now: float) -> Result[KeyGrant, Refusal]:
        """Return the grant of the caller's key, or a refusal."""
        if not self._stages.state.has_proof(now):
            return Error(no_proof(self._stages.state, self._stages.recorder.host))
        key = bearer_key(request)
        return self._stages.keys.check(key.ok) if key.is_ok() else Error(key.error)

    async def _check_and_admit(
        self, request: web.BaseRequest, request_id: str, now: float
    ) -> Result[CallerRequest, Refusal]:
        state = self._stages.state.current
        if state is None:
            return Error(no_proof(self._stages.state, self._stages.recorder.host))
        oversized = refusal_of_headers(request, state.deployment.defaults)
        if oversized is not None:
            return Error(oversized)
        checked = await self._check(request, state, request_id, now)
        if checked.is_error():
            return checked
        refusal = await self._stages.admission.admit(checked.ok)
        return checked if refusal is None else Error(refusal)

    async def _check(
        self, request: web.BaseRequest, state: AgreedState, request_id: str, now: float
    ) -> Result[CallerRequest, Refusal]:
        service, raw_path = _service_and_path(request)
        found = find_route(state.deployment, service, request.method, raw_path)
        if found.is_error():
            return Error(found.error)
        route = found.ok
        grant = self._grant_for(route, request, now)
        if grant.is_error():
            return Error(grant.error)
        deadline = deadline_s(request, route, state.deployment.defaults, now)
        if deadline.is_error():
            return Error(deadline.error)
        idempotency_key = _idempotency_key(request, route)
        if idempotency_key.is_error():
            return Error(idempotency_key.error)
        body = await read_body(request, state.deployment.defaults.max_body_bytes, deadline.ok)
        if body.is_error():
            return Error(body.error)
        key = bearer_key(request).default_value(None)
        path = _with_query(request, raw_path)
        texts = (path, request_id, idempotency_key.ok)
        misplaced = refusal_of_misplaced_key(key, body.ok, texts)
        if misplaced is not None:
            return Error(misplaced)
        return Ok(
            CallerRequest(
                request_id=request_id,
                service=service,
                route=route,
                method=request.method,
                path=path,
                headers=forwarded_headers(request.headers, key),
                body=body.ok,
                digest=digest_of_request(request.method, path, body.ok),
                deadline=deadline.ok,
                workspace=grant.ok.workspace if grant.ok else None,
                key_id=grant.ok.key_id if grant.ok else None,
                idempotency_key=idempotency_key.ok,
            )
        )

    def _grant_for(
        self, route: Route, request: web.BaseRequest, now: float
    ) -> Result[KeyGrant | None, Refusal]:
        if route.open:
            key = bearer_key(request)
            return Ok(None) if key.is_ok() else Error(key.error)
        authorized = self.authorize(request, now)
        return Ok(authorized.ok) if authorized.is_ok() else Error(authorized.error)

    async def _run(self, request: CallerRequest) -> Outcome:
        if request.route.idempotent:
            return await self._dispatch(request)
        # A caller that hangs up must not cancel a claim half way.
        task = asyncio.create_task(self._run_once(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _run_once(self, request: CallerRequest) -> Outcome:
        with self._in_progress:
            return await self._stages.ledger.run_once(request, self._dispatch)

    async def _dispatch(self, request: CallerRequest) -> Outcome:
        refusal = self._permission.refusal_of(request, asyncio.get_running_loop().time())
        if refusal is not None:
            return Error(refusal)
        return await self._stages.dispatcher.dispatch(request)

    def _record_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        """Record what an operator may ask for: refusals, and all that runs at most once."""
        if outcome.is_error():
            self._record_refusal(request.request_id, request, outcome.error)
            return
        if request.route.idempotent:
            return
        self._stages.recorder.record(
            "request.ran",
            request=request.request_id,
            workspace=request.workspace,
            key_id=request.key_id,
            service=request.service,
            status=outcome.ok.status,
        )

    def _record_refusal(
        self, request_id: str, request: CallerRequest | None, refusal: Refusal
    ) -> None:
        self._stages.recorder.record(
            "request.refused",
            request=request_id,
            workspace=request.workspace if request else None,
            key_id=request.key_id if request else None,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
        )

    def _record_fault(self, request_id: str, error: Exception) -> None:
        self._stages.recorder.record(
            "request.failed", request=request_id, error=type(error).__name__
        )


def _service_and_path(request: web.BaseRequest) -> tuple[str, str]:
    service, _, path = request.rel_url.raw_path.removeprefix("/services/").partition("/")
    return service, f"/{path}"


def _with_query(request: web.BaseRequest, raw_path: str) -> str:
    query = request.rel_url.raw_query_string
    return f"{raw_path}?{query}" if query else raw_path


def _idempotency_key(request: web.BaseRequest, route: Route) -> Result[str | None, Refusal]:
    values = request.headers.getall(fields.IDEMPOTENCY_KEY, ())
    if not values and route.idempotent:
        return Ok(None)
    if not values:
        detail = f"this route is not idempotent: send an {fields.IDEMPOTENCY_KEY} field"
        return Error(Refusal.not_run(Reason.IDEMPOTENCY_KEY_MISSING, detail))
    if len(values) > 1 or not is_usable_id(values[0]):
        detail = f"{fields.IDEMPOTENCY_KEY} must be one field of 1 to 255 visible ASCII characters"
        return Error(Refusal.not_run(Reason.BAD_REQUEST, detail))
    return Ok(values[0])
