"""The system's own paths: look-ups, tickets, outcomes and health."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.gateway.intake import bearer_key
from flamingoladder.gateway.intake import request_id_of
from flamingoladder.gateway.messages import Health
from flamingoladder.gateway.messages import TicketReply
from flamingoladder.gateway.reply import json_response
from flamingoladder.gateway.reply import outcome_response
from flamingoladder.gateway.reply import refusal_response
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.gateway.checks import RequestChecks
    from flamingoladder.gateway.stages import GatewayStages
    from flamingoladder.verdict import Refusal

OUTCOMES = "/v1/outcomes/"
NOT_READY = 503
READY = 200


class OwnPaths:
    """Answers the system's own paths; ``serving`` is False once the host is about to stop."""

    __slots__ = ("_checks", "_stages", "serving")

    def __init__(self, stages: GatewayStages, checks: RequestChecks) -> None:
        self._stages = stages
        self._checks = checks
        self.serving = True

    async def lookup(self, request: web.Request) -> web.Response:
        """Answer a look-up."""
        now = asyncio.get_running_loop().time()
        answer = self._stages.lookups.lookup(request.query.get("service", ""), now)
        if answer.is_error():
            return refusal_response(answer.error, request_id_of(request))
        return json_response(answer.ok)

    async def ticket(self, request: web.Request, request_id: str) -> web.Response:
        """Issue a ticket to the workspace of the key."""
        try:
            grant = self._grant(request)
        except RefusedError as error:
            return refusal_response(error.refusal, request_id)
        return json_response(TicketReply(self._stages.ledger.issue_ticket(grant.workspace)))

    async def outcome(self, request: web.Request, request_id: str) -> web.Response:
        """Tell what became of an earlier request of the key's workspace."""
        try:
            grant = self._grant(request)
        except RefusedError as error:
            return refusal_response(fate_unknown(error.refusal), request_id)
        key = request.match_info["key"]
        outcome = await self._stages.ledger.outcome_of(grant.workspace, key)
        return outcome_response(outcome, request_id)

    async def live(self, _request: web.Request) -> web.Response:
        """Say that the process answers."""
        return json_response(Health(True, "live"))

    async def ready(self, _request: web.Request) -> web.Response:
        """Say whether the host takes keyed work."""
        detail = self._why_not_ready(asyncio.get_running_loop().time())
        status = READY if detail is None else NOT_READY
        return json_response(Health(detail is None, detail or "ready"), status)

    def _grant(self, request: web.Request) -> KeyGrant:
        now = asyncio.get_running_loop().time()
        return self._checks.grant_of(bearer_key(request), now)

    def _why_not_ready(self, now: float) -> str | None:
        if not self.serving:
            return "stopping"
        if not self._stages.state.has_proof(now):
            return "no proof that the agreed state is the newest"
        return None


def fate_unknown(refusal: Refusal) -> Refusal:
    """Return a refused question about an earlier request, which says nothing of that request."""
    return msgspec.structs.replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
