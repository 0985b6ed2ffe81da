"""Translates callers' requests and the answers to them."""

from __future__ import annotations

import re
from http.cookies import CookieError
from http.cookies import SimpleCookie
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from flamingoladder import fields
from flamingoladder.entry.request import IncomingRequest
from flamingoladder.memory.answers import AnswerPayload
from flamingoladder.memory.answers import HeldAnswer
from flamingoladder.memory.body import PartedBody
from flamingoladder.platform import headers
from flamingoladder.verdict import Header
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.fleet.lookups import LookupAnswer
    from flamingoladder.memory.stalls import Transfers
    from flamingoladder.verdict import Answer
    from flamingoladder.verdict import Outcome
    from flamingoladder.verdict import Refusal

MS_PER_S = 1_000
MIN_RETRY_AFTER_S = 0.05
DEFAULT_RETRY_AFTER_S = 0.25
JSON = "application/json"
ANSWER = web.ResponseKey("answer", HeldAnswer)

# A target must not get these from a caller: the host sets them, or they concern one connection.
DROPPED_FIELDS = fields.CONNECTION_FIELDS | {
    "content-length",
    "expect",
    headers.API_KEY.lower(),
    headers.DEADLINE_MS.lower(),
    headers.EXPECT_INSTANCE.lower(),
    headers.TENANT_ID.lower(),
}
# Cookies without quotes, and without names that SimpleCookie takes for attributes. It reads these
# as they stand, in ten times the time.
_ATTRIBUTES = "expires|path|comment|domain|max-age|secure|httponly|version|samesite"
_PLAIN_PAIR = rf"(?!(?:{_ATTRIBUTES})=)[\w-]+=[\w.:/-]*"
PLAIN_COOKIES = re.compile(rf"{_PLAIN_PAIR}(?:; {_PLAIN_PAIR})*", re.ASCII | re.IGNORECASE)
KEPT_FIELDS = frozenset({"host", "cookie", headers.REQUEST_ID.lower()})

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_INCOMPLETE: 408,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.RATE_EXCEEDED: 429,
    Reason.UNKNOWN_ROUTE: 404,
}
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504
TIMEOUT_REASONS = frozenset({Reason.UPSTREAM_SILENT, Reason.DEADLINE_PASSED})


def incoming_request(request: web.BaseRequest) -> IncomingRequest:
    """Return a caller's request, whose body is not read yet."""
    found = request.headers
    return IncomingRequest(
        request_id=found.get(headers.REQUEST_ID, ""),
        method=request.method,
        host=_host(found.get("Host", "")),
        path=request.raw_path,
        headers=_forwarded_headers(request),
        body=b"",
        keys=tuple(found.getall(headers.API_KEY, ())),
        affinity_key=_affinity_key(found.getall("Cookie", ())),
        caller_timeout_s=_caller_timeout_s(found.get(headers.DEADLINE_MS)),
        caller=request.remote or "",
    )


def response_to(outcome: Outcome, request_id: str, transfers: Transfers) -> web.Response:
    """Return the response that tells the outcome; large answers are written as ``transfers``."""
    if outcome.is_ok():
        return _answer_response(outcome.ok, transfers)
    return refusal_response(outcome.error, request_id)


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the response of a refusal; 429 and 503 promise that the request never runs."""
    status = _status(refusal)
    found: CIMultiDict[str] = CIMultiDict()
    if request_id:
        found[headers.REQUEST_ID] = request_id
    if refusal.verdict is Verdict.NOT_RUN and status in (429, NOT_RUN_STATUS):
        wait_s = max(MIN_RETRY_AFTER_S, refusal.retry_after_s or DEFAULT_RETRY_AFTER_S)
        found[headers.RETRY_AFTER] = f"{wait_s:.3f}"
    body = msgspec.json.encode(
        {"error": refusal.detail, "reason": refusal.reason, "verdict": refusal.verdict}
    )
    return web.Response(status=status, body=body, headers=found, content_type=JSON)


def lookup_response(answer: LookupAnswer) -> web.Response:
    """Return the response to a look-up."""
    body = msgspec.json.encode({"addrs": answer.addresses, "ttl_s": answer.ttl_s})
    return web.Response(body=body, content_type=JSON)


def lookup_region(request: web.BaseRequest) -> str:
    """Return the region that a look-up comes from."""
    return request.query.get("region", "")


def lookup_failure_domain(request: web.BaseRequest) -> str:
    """Return the failure domain that a look-up comes from, or "" if it names none."""
    return request.query.get("zone", "")


def _status(refusal: Refusal) -> int:
    if refusal.reason in STATUS_BY_REASON:
        return STATUS_BY_REASON[refusal.reason]
    if refusal.verdict is Verdict.NOT_RUN:
        return NOT_RUN_STATUS
    return TIMEOUT_STATUS if refusal.reason in TIMEOUT_REASONS else MAY_HAVE_RUN_STATUS


def _answer_response(answer: Answer, transfers: Transfers) -> web.Response:
    found: CIMultiDict[str] = CIMultiDict()
    for header in answer.headers:
        found.add(header.name, header.value)
    if not isinstance(answer, HeldAnswer):
        return web.Response(status=answer.status, body=answer.body, headers=found)
    if isinstance(answer.content, PartedBody):
        payload = AnswerPayload(answer, transfers)
        return web.Response(status=answer.status, body=payload, headers=found)
    response = web.Response(status=answer.status, body=answer.content, headers=found)
    response[ANSWER] = answer  # Its memory is held until the response is written.
    return response


def _host(text: str) -> str:
    return text.partition(":")[0].strip().lower()


def _forwarded_headers(request: web.BaseRequest) -> tuple[Header, ...]:
    named = request.headers.get("Connection", "")
    dropped = DROPPED_FIELDS | ({name.strip().lower() for name in named.split(",")} - KEPT_FIELDS)
    return tuple(
        Header(str(name), value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )


def _affinity_key(cookies: tuple[str, ...] | list[str]) -> str | None:
    for text in cookies:
        if headers.AFFINITY_COOKIE not in text:
            continue
        found = _cookie(text, headers.AFFINITY_COOKIE)
        if found is not None:
            return found
    return None


def _cookie(text: str, name: str) -> str | None:
    if PLAIN_COOKIES.fullmatch(text):
        pairs = dict(pair.split("=") for pair in text.split("; "))
        return pairs.get(name)
    try:
        found = SimpleCookie(text).get(name)
    except CookieError:
        return None
    return None if found is None else found.value


def _caller_timeout_s(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.001, float(text) / MS_PER_S)
    except ValueError:
        return None
