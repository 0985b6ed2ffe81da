"""Reads a caller's request within its limits."""

from __future__ import annotations

import asyncio
from hashlib import sha256
from typing import TYPE_CHECKING
from uuid import uuid4

from expression import Error
from expression import Ok

from flamingoladder import fields
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import web
    from expression import Result

    from flamingoladder.config.model import Defaults
    from flamingoladder.config.model import Route

MAX_ID_LENGTH = 255
HEADER_SEPARATORS_BYTES = 4
MS_PER_S = 1_000


def refusal_of_headers(request: web.BaseRequest, defaults: Defaults) -> Refusal | None:
    """Return a refusal if the header fields together are over the limit."""
    size = sum(len(name) + len(value) for name, value in request.raw_headers)
    size += HEADER_SEPARATORS_BYTES * len(request.raw_headers)
    if size <= defaults.max_header_bytes:
        return None
    detail = (
        f"the header fields take {size} bytes; the limit is {defaults.max_header_bytes} "
        "(setting defaults.max_header_bytes)"
    )
    return Refusal.not_run(Reason.HEADERS_TOO_LARGE, detail)


async def read_body(
    request: web.BaseRequest, max_bytes: int, deadline: float
) -> Result[bytes, Refusal]:
    """Return the whole body, or a refusal if it is too large or not here by ``deadline``."""
    if not request.body_exists:
        return Ok(b"")
    if (request.content_length or 0) > max_bytes:
        return Error(_too_large(max_bytes))
    try:
        async with asyncio.timeout_at(deadline):
            return await _read_chunks(request, max_bytes)
    except TimeoutError:
        detail = "the deadline passed before the whole body was received"
        return Error(Refusal.not_run(Reason.DEADLINE_PASSED, detail))


async def _read_chunks(request: web.BaseRequest, max_bytes: int) -> Result[bytes, Refusal]:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            return Error(_too_large(max_bytes))
    return Ok(bytes(body))


def _too_large(max_bytes: int) -> Refusal:
    detail = f"the body is over the limit of {max_bytes} bytes (setting defaults.max_body_bytes)"
    return Refusal.not_run(Reason.BODY_TOO_LARGE, detail)


def bearer_key(request: web.BaseRequest) -> Result[str | None, Refusal]:
    """Return the caller's key, or None if there is none."""
    values = request.headers.getall(fields.AUTHORIZATION, ())
    if not values:
        return Ok(None)
    scheme, _, key = values[0].partition(" ")
    if len(values) > 1 or scheme.lower() != "bearer":
        detail = "send one 'Authorization: Bearer <key>' field"
        return Error(Refusal.not_run(Reason.BAD_REQUEST, detail))
    return Ok(key.strip() or None)


def deadline_s(
    request: web.BaseRequest, route: Route, defaults: Defaults, now: float
) -> Result[float, Refusal]:
    """Return the deadline in monotonic seconds: the caller's, capped by the route's."""
    cap_ms = defaults.deadline_ms if route.deadline_ms is None else route.deadline_ms
    text = request.headers.get(fields.DEADLINE_MS)
    if text is None:
        return Ok(now + cap_ms / MS_PER_S)
    if not (text.isascii() and text.isdigit()):
        detail = f"{fields.DEADLINE_MS} must be a whole number of milliseconds"
        return Error(Refusal.not_run(Reason.BAD_REQUEST, detail))
    return Ok(now + min(int(text), cap_ms) / MS_PER_S)


def request_id_of(request: web.BaseRequest) -> str:
    """Return the caller's request id, or a new one if it sent none or an unusable one."""
    text = request.headers.get(fields.REQUEST_ID)
    if text is None or not is_usable_id(text):
        return uuid4().hex
    return text


def is_usable_id(text: str) -> bool:
    """Return whether ``text`` is visible ASCII of a sensible length."""
    visible = text.isascii() and text.isprintable() and " " not in text
    return visible and 0 < len(text) <= MAX_ID_LENGTH


def digest_of_request(method: str, path: str, body: bytes) -> str:
    """Return the hex SHA-256 digest of method, path (with query) and body."""
    digest = sha256(f"{method} {path}\n".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return digest.hexdigest()
