"""Validation, admission and dispatch of a caller's request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error

from flamingoladder.gateway.dispatch_check import KeyedDispatchCheck
from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.gateway.validation import RequestValidator
from flamingoladder.memory.body_reader import BodyReader
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.gateway.in_flight import InFlightCounter
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import GatewayStages
    from flamingoladder.verdict import Outcome

INTERNAL_ERROR_DETAIL = "a fault in this host; its time line has the error"


class RequestHandler:
    """Handler that validates, admits and dispatches requests."""

    __slots__ = ("_dispatch_check", "_in_flight", "_stages", "_tasks", "validator")

    def __init__(
        self,
        stages: GatewayStages,
        in_flight: InFlightCounter,
        bodies: BodyReader | None = None,
    ) -> None:
        host = stages.recorder.host
        bodies = bodies or BodyReader(MemoryBudget())
        self.validator = RequestValidator(stages.state, stages.keys, host, bodies)
        self._stages = stages
        self._in_flight = in_flight
        self._dispatch_check = KeyedDispatchCheck(stages.state, stages.keys, host)
        self._tasks: set[asyncio.Task[Outcome]] = set()

    async def handle(self, request: web.BaseRequest, request_id: str, now: float) -> Outcome:
        """Return the outcome of a request under ``/services/``.

        An unexpected exception in a stage refuses only this request.
        """
        try:
            validated = await self.validator.validate(request, request_id, now)
            admission = self._stages.admission
            refusal = await admission.admit(validated, asyncio.get_running_loop().time())
        except RefusedError as error:
            self._record_refusal(request_id, None, error.refusal)
            return Error(error.refusal)
        except Exception as error:
            self._record_exception(request_id, error)
            return Error(Refusal.not_run(Reason.INTERNAL_ERROR, INTERNAL_ERROR_DETAIL))
        outcome = await self._run(validated) if refusal is None else Error(refusal)
        if refusal is None and outcome.is_error() and outcome.error.verdict is Verdict.NOT_RUN:
            self._stages.admission.refund(validated)
        self._record_outcome(validated, outcome)
        return outcome

    async def _run(self, request: CallerRequest) -> Outcome:
        try:
            if request.route.idempotent:
                return await self._dispatch(request)
            return await self._run_detached(request)
        except Exception as error:
            self._record_exception(request.request_id, error)
            return Error(Refusal.may_have_run(Reason.INTERNAL_ERROR, INTERNAL_ERROR_DETAIL))

    async def _run_detached(self, request: CallerRequest) -> Outcome:
        # A caller that disconnects must not cancel the request between its claim and its outcome.
        task = asyncio.create_task(self._run_once(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _run_once(self, request: CallerRequest) -> Outcome:
        with self._in_flight:
            return await self._stages.ledger.run_once(request, self._dispatch)

    async def _dispatch(self, request: CallerRequest) -> Outcome:
        refusal = self._dispatch_check.refusal_of(request, asyncio.get_running_loop().time())
        if refusal is not None:
            return Error(refusal)
        return await self._stages.dispatcher.dispatch(request)

    def _record_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        """Record refusals and all non-idempotent requests, for operators to look up."""
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

    def _record_exception(self, request_id: str, error: Exception) -> None:
        self._stages.recorder.record(
            "request.failed", request=request_id, error=type(error).__name__
        )
