"""The host list over HTTP, transferred only when it has changed."""

from __future__ import annotations

from http import HTTPMethod
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform.exceptions import PlatformUnavailableError
from flamingoladder.platform.hostlist import HostList
from flamingoladder.platform.hostlist import ListedHost
from flamingoladder.platform.http_transport import HttpCall

if TYPE_CHECKING:
    from flamingoladder.platform.http_transport import HttpTransport

HOSTS_PATH = "/hosts"
CHANGED_OR_NOT = frozenset({HTTPStatus.OK, HTTPStatus.NOT_MODIFIED})


class HttpHostList(HostList):
    """The list of hosts, kept with its entity tag between reads."""

    __slots__ = ("_etag", "_hosts", "_transport")

    def __init__(self, transport: HttpTransport) -> None:
        self._transport = transport
        self._hosts: tuple[ListedHost, ...] = ()
        self._etag: str | None = None

    async def read(self, timeout_s: float) -> tuple[ListedHost, ...]:
        """Return the list, from memory if the platform says that it has not changed."""
        reply = await self._transport.read(self._call(), timeout_s)
        if reply.status == HTTPStatus.OK:
            self._hosts = _hosts(reply.body)
            self._etag = reply.etag
        return self._hosts

    def _call(self) -> HttpCall:
        if self._etag is None:
            return HttpCall(HTTPMethod.GET, HOSTS_PATH)
        headers = {"If-None-Match": self._etag}
        return HttpCall(HTTPMethod.GET, HOSTS_PATH, CHANGED_OR_NOT, headers=headers)


def _hosts(body: bytes) -> tuple[ListedHost, ...]:
    try:
        return msgspec.json.decode(body, type=tuple[ListedHost, ...])
    except ValueError as error:
        raise PlatformUnavailableError(f"malformed answer: {error}") from error
