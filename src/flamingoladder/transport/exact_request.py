"""A request whose target goes out byte for byte as its sender gave it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import aiohttp

from flamingoladder.transport.connector import current_exchange

if TYPE_CHECKING:
    from aiohttp.connector import Connection
    from yarl import URL


class _ExactUrl:
    """A URL with another request target: yarl drops an empty query and a fragment."""

    __slots__ = ("_url", "raw_path_qs")

    def __init__(self, url: URL, target: str) -> None:
        self._url = url
        self.raw_path_qs = target

    def __getattr__(self, name: str) -> object:
        return getattr(self._url, name)


class ExactRequest(aiohttp.ClientRequest):
    """Writes the request target of the current exchange, if it names one."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request."""
        exchange = current_exchange.get()
        if exchange is None or not exchange.target:
            return await super().send(conn)
        url = self.url
        self.url = cast("URL", _ExactUrl(url, exchange.target))
        try:
            return await super().send(conn)
        finally:
            self.url = url
