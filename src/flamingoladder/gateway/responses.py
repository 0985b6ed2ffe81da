"""HTTP responses for outcomes."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from flamingoladder import fields
from flamingoladder.memory.body import BodyPayload
from flamingoladder.memory.budget import SMALL_BYTES
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.verdict import Outcome

JSON = "application/json"
ANSWER = web.ResponseKey("answer", Answer)

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_INCOMPLETE: 408,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NO_MEMORY: 503,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.NO_PROOF: 503,
    Reason.RATE_EXCEEDED: 429,
    Reason.NO_CAPACITY: 503,
    Reason.LINK_BUDGET: 503,
    Reason.DEADLINE_PASSED: 504,
    Reason.IDEMPOTENCY_KEY_MISSING: 400,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.CLAIM_STORE_UNAVAILABLE: 503,
    Reason.CLAIM_HELD: 409,
    Reason.CLAIM_OWNER_UNREACHABLE: 503,
    Reason.TICKET_INVALID: 400,
    Reason.REQUEST_CRASHES_UPSTREAMS: 503,
    Reason.UPSTREAM_UNREACHABLE: 502,
    Reason.UPSTREAM_SHED: 503,
    Reason.UPSTREAM_LOST: 502,
    Reason.UPSTREAM_SILENT: 504,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.ANSWER_TOO_LARGE: 502,
    Reason.HOST_LEAVING: 503,
    Reason.HOST_LOST: 502,
    Reason.HOST_UNREACHABLE: 502,
    Reason.INTERNAL_ERROR: 500,
}

_encoder = msgspec.json.Encoder()


def outcome_response(outcome: Outcome, request_id: str) -> web.Response:
    """Return the response for an outcome."""
    if outcome.is_ok():
        return _answer_response(outcome.ok, request_id)
    return refusal_response(outcome.error, request_id)


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the response for a refusal, with the refusal as its JSON body."""
    headers = {
        fields.VERDICT: refusal.verdict.value,
        fields.REASON: refusal.reason.value,
        fields.REQUEST_ID: request_id,
    }
    if refusal.retry_after_s is not None:
        headers[fields.RETRY_AFTER] = str(ceil(refusal.retry_after_s))
    return web.Response(
        status=STATUS_BY_REASON[refusal.reason],
        headers=headers,
        body=_encoder.encode(refusal),
        content_type=JSON,
    )


def json_response(content: msgspec.Struct, status: int = 200) -> web.Response:
    """Return a response with ``content`` as its JSON body."""
    return web.Response(status=status, body=_encoder.encode(content), content_type=JSON)


def _answer_response(answer: Answer, request_id: str) -> web.Response:
    headers: CIMultiDict[str] = CIMultiDict()
    for header in answer.headers:
        if not header.name.lower().startswith(fields.OWN_PREFIX):
            headers.add(header.name, header.value)
    headers[fields.VERDICT] = Verdict.RAN.value
    headers[fields.REQUEST_ID] = request_id
    if len(answer.body) <= SMALL_BYTES:
        return web.Response(status=answer.status, headers=headers, body=answer.body)
    response = web.Response(status=answer.status, headers=headers, body=BodyPayload(answer.body))
    response[ANSWER] = answer  # Its memory is held until the response is written.
    return response
