"""The object store over conditional HTTP requests (RFC 9110)."""

from __future__ import annotations

from http import HTTPMethod
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import quote

from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.platform.objects import ObjectStore

if TYPE_CHECKING:
    from flamingoladder.platform.http_transport import HttpTransport

OBJECTS_PATH = "/objects/"
STORED = frozenset(
    {HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT, HTTPStatus.PRECONDITION_FAILED}
)
FOUND_OR_NOT = frozenset({HTTPStatus.OK, HTTPStatus.NOT_FOUND})


class HttpObjects(ObjectStore):
    """Objects that are created once and never replaced."""

    __slots__ = ("_transport",)

    def __init__(self, transport: HttpTransport) -> None:
        self._transport = transport

    async def put(self, name: str, content: bytes, timeout_s: float) -> None:
        """Create the object; it is a success if ``name`` exists, as names are digests."""
        headers = {"If-None-Match": "*", "Content-Type": "application/octet-stream"}
        call = HttpCall(HTTPMethod.PUT, _path(name), STORED, content, headers)
        await self._transport.write(call, timeout_s)

    async def get(self, name: str, timeout_s: float) -> bytes | None:
        """Return the object's content, or None."""
        call = HttpCall(HTTPMethod.GET, _path(name), FOUND_OR_NOT)
        reply = await self._transport.read(call, timeout_s)
        return None if reply.status == HTTPStatus.NOT_FOUND else reply.body


def _path(name: str) -> str:
    return OBJECTS_PATH + quote(name, safe="")
