"""HTTP handlers of look-ups, tickets, outcomes and health checks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.gateway.messages import Health
from flamingoladder.gateway.messages import TicketReply
from flamingoladder.gateway.request_parsing import bearer_key
from flamingoladder.gateway.request_parsing import request_id_of
from flamingoladder.gateway.responses import json_response
from flamingoladder.gateway.responses import outcome_response
from flamingoladder.gateway.responses import refusal_response
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.gateway.stages import GatewayStages
    from flamingoladder.gateway.validation import RequestValidator
    from flamingoladder.verdict import Refusal

OUTCOMES_PREFIX = "/v1/outcomes/"
NOT_READY_STATUS = 503
READY_STATUS = 200


class SystemApi:
    """Handlers of the paths outside ``/services/``; ``serving`` is False once the host leaves."""

    __slots__ = ("_stages", "_validator", "serving")

    def __init__(self, stages: GatewayStages, validator: RequestValidator) -> None:
        self._stages = stages
        self._validator = validator
        self.serving = True

    async def lookup(self, request: web.Request) -> web.Response:
        """Return the look-up answer for a service."""
        now = asyncio.get_running_loop().time()
        answer = self._stages.lookups.lookup(request.query.get("service", ""), now)
        if answer.is_error():
            return refusal_response(answer.error, request_id_of(request))
        return json_response(answer.ok)

    async def ticket(self, request: web.Request, request_id: str) -> web.Response:
        """Issue a ticket to the workspace of the caller's key."""
        try:
            grant = self._grant(request)
        except RefusedError as error:
            return refusal_response(error.refusal, request_id)
        return json_response(TicketReply(self._stages.ledger.issue_ticket(grant.workspace)))

    async def outcome(self, request: web.Request, request_id: str) -> web.Response:
        """Return the outcome of an earlier request of the workspace of the caller's key."""
        try:
            grant = self._grant(request)
        except RefusedError as error:
            return refusal_response(with_unknown_outcome(error.refusal), request_id)
        key = request.match_info["key"]
        outcome = await self._stages.ledger.outcome_of(grant.workspace, key)
        return outcome_response(outcome, request_id)

    async def live(self, _request: web.Request) -> web.Response:
        """Report that the process responds (liveness)."""
        return json_response(Health(True, "live"))

    async def ready(self, _request: web.Request) -> web.Response:
        """Report whether the host accepts requests with a key (readiness)."""
        detail = self._unready_reason(asyncio.get_running_loop().time())
        status = READY_STATUS if detail is None else NOT_READY_STATUS
        return json_response(Health(detail is None, detail or "ready"), status)

    def _grant(self, request: web.Request) -> KeyGrant:
        now = asyncio.get_running_loop().time()
        return self._validator.authenticate(bearer_key(request), now)

    def _unready_reason(self, now: float) -> str | None:
        if not self.serving:
            return "stopping"
        if not self._stages.state.has_proof(now):
            return "no proof that the agreed state is the newest"
        return None


def with_unknown_outcome(refusal: Refusal) -> Refusal:
    """Return the refusal of an outcome query, with the verdict that the request may have run.

    Refusing the query does not establish whether the earlier request ran.
    """
    return msgspec.structs.replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
