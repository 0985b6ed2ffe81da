"""Reads the body of a caller's request within its limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import web

DEFAULT_LIMIT_BYTES = 67_108_864


async def read_body(request: web.BaseRequest, limit_bytes: int | None) -> bytes | Refusal:
    """Return the whole body, or a refusal if it is over the limit."""
    limit = DEFAULT_LIMIT_BYTES if limit_bytes is None else limit_bytes
    if not request.body_exists:
        return b""
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            return Refusal.not_run(Reason.BODY_TOO_LARGE, f"the body is over {limit} bytes")
    return bytes(body)
