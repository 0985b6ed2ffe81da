"""Parsing of a caller's HTTP request, with a limit on its header fields."""

from __future__ import annotations

from hashlib import sha256
from secrets import token_hex
from typing import TYPE_CHECKING

from flamingoladder import fields
from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.memory.body import PartedBody
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.config.model import Defaults
    from flamingoladder.config.model import Route
    from flamingoladder.memory.body import Content

MAX_ID_LENGTH = 255
HEADER_SEPARATOR_BYTES = 4  # colon, space and CRLF of each header field
MS_PER_S = 1_000
HEADER_TRUE = "1"
REQUEST_ID_BYTES = 16


def check_headers(request: web.BaseRequest, defaults: Defaults) -> None:
    """Check the size of the header fields.

    :raises RefusedError: if their total size exceeds the limit.
    """
    size = sum(len(name) + len(value) for name, value in request.raw_headers)
    size += HEADER_SEPARATOR_BYTES * len(request.raw_headers)
    if size <= defaults.max_header_bytes:
        return
    detail = (
        f"the header fields take {size} bytes; the limit is {defaults.max_header_bytes} "
        "(setting defaults.max_header_bytes)"
    )
    raise RefusedError(Refusal.not_run(Reason.HEADERS_TOO_LARGE, detail))


def bearer_key(request: web.BaseRequest) -> str | None:
    """Return the caller's key, or None if there is none.

    :raises RefusedError: if the scheme is not Bearer, or there are several Authorization headers.
    """
    values = request.headers.getall(fields.AUTHORIZATION, ())
    if not values:
        return None
    scheme, _, key = values[0].partition(" ")
    if len(values) > 1 or scheme.lower() != "bearer":
        raise _bad_request("send one 'Authorization: Bearer <key>' field")
    return key.strip() or None


def request_deadline(
    request: web.BaseRequest, route: Route, defaults: Defaults, now: float
) -> float:
    """Return the deadline in monotonic seconds: the caller's, capped by the route's.

    :raises RefusedError: if the caller's deadline is not a whole number.
    """
    cap_ms = defaults.deadline_ms if route.deadline_ms is None else route.deadline_ms
    text = request.headers.get(fields.DEADLINE_MS)
    if text is None:
        return now + cap_ms / MS_PER_S
    if not (text.isascii() and text.isdigit()):
        raise _bad_request(f"{fields.DEADLINE_MS} must be a whole number of milliseconds")
    return now + min(int(text), cap_ms) / MS_PER_S


def is_fresh_key(request: web.BaseRequest) -> bool:
    """Return whether the caller rules out that an earlier request with this idempotency key ran."""
    return request.headers.get(fields.FRESH_KEY) == HEADER_TRUE


def idempotency_key(request: web.BaseRequest, route: Route) -> str | None:
    """Return the idempotency key; only on an idempotent route may it be None.

    :raises RefusedError: if it is missing or unusable.
    """
    values = request.headers.getall(fields.IDEMPOTENCY_KEY, ())
    if not values and route.idempotent:
        return None
    if not values:
        detail = f"this route is not idempotent: send an {fields.IDEMPOTENCY_KEY} field"
        raise RefusedError(Refusal.not_run(Reason.IDEMPOTENCY_KEY_MISSING, detail))
    if len(values) > 1 or not is_usable_id(values[0]):
        raise _bad_request(
            f"{fields.IDEMPOTENCY_KEY} must be one field of 1 to 255 visible ASCII characters"
        )
    return values[0]


def _bad_request(detail: str) -> RefusedError:
    return RefusedError(Refusal.not_run(Reason.BAD_REQUEST, detail))


def request_id_of(request: web.BaseRequest) -> str:
    """Return the caller's request id, or a new one if it sent none or an unusable one."""
    text = request.headers.get(fields.REQUEST_ID)
    if text is None or not is_usable_id(text):
        return token_hex(REQUEST_ID_BYTES)
    return text


def is_usable_id(text: str) -> bool:
    """Return whether ``text`` is 1 to ``MAX_ID_LENGTH`` visible ASCII characters."""
    visible = text.isascii() and text.isprintable() and " " not in text
    return visible and 0 < len(text) <= MAX_ID_LENGTH


def request_digest(method: str, path: str, body: Content) -> str:
    """Return the hex SHA-256 digest of method, path (with query) and body."""
    digest = sha256(f"{method} {path}\n".encode("utf-8", "surrogateescape"))
    for part in body.parts() if isinstance(body, PartedBody) else (body,):
        digest.update(part)
    return digest.hexdigest()
