"""Reads the body of a caller's request within the size limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.routing.model import RequestLimits

SEPARATOR_BYTES = 4


async def read_body(request: web.BaseRequest, limits: RequestLimits) -> bytes | Refusal:
    """Return the whole body, or a refusal if the header fields or the body are too large."""
    if _header_bytes(request) > limits.max_header_bytes:
        detail = f"the header fields are over {limits.max_header_bytes} bytes"
        return Refusal.not_run(Reason.HEADERS_TOO_LARGE, detail)
    if not request.body_exists:
        return b""
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limits.max_body_bytes:
            detail = f"the body is over {limits.max_body_bytes} bytes"
            return Refusal.not_run(Reason.BODY_TOO_LARGE, detail)
    return bytes(body)


def _header_bytes(request: web.BaseRequest) -> int:
    return sum(len(name) + len(value) + SEPARATOR_BYTES for name, value in request.raw_headers)
