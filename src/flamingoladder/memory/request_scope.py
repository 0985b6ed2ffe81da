"""Marks requests at their connections, and closes those whose body is not worth draining."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.memory.budget import SMALL_BYTES
from flamingoladder.memory.connection_guard import guard_of

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp import web

    Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def is_worth_draining(request: web.BaseRequest) -> bool:
    """Return whether the connection is kept although the body is unread."""
    if request.content.is_eof() or not request.body_exists:
        return True
    return request.content_length is not None and request.content_length <= SMALL_BYTES


async def in_scope(request: web.BaseRequest, handle: Handle) -> web.StreamResponse:
    """Handle a request and write its response; close the connection over a large unread body."""
    guard = guard_of(request.transport)
    if guard is None:
        return await handle(request)
    guard.begin_request(request.content)
    try:
        response = await handle(request)
        if not is_worth_draining(request):
            response.force_close()
            await response.prepare(request)
            await response.write_eof()
            request.protocol.force_close()
        return response
    finally:
        guard.end_request()
