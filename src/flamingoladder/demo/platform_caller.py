"""Callers of entry hosts on the platform, for the demo."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from flamingoladder.platform import headers

if TYPE_CHECKING:
    from random import Random

AT_ONCE = 10
OBJECTS = 24
PATIENCE_MS = 2_000
NO_ANSWER = 0


class Sent(msgspec.Struct, frozen=True):
    """A request and the status of its answer; ``NO_ANSWER`` if its connection failed."""

    request_id: str
    path: str
    key: str
    status: int


class PlatformCaller:
    """Sends a mix of reads and bookings with the keys of all workspaces."""

    def __init__(self, urls: list[str], keys: list[list[str]], random: Random) -> None:
        self._urls = list(urls)
        self._keys = [key for found in keys for key in found]
        self._random = random
        self._session = aiohttp.ClientSession()
        self._count = 0
        self.sent: list[Sent] = []

    async def send_many(self, count: int) -> None:
        """Send this number of requests, ``AT_ONCE`` at a time."""
        for _ in range(count // AT_ONCE):
            await asyncio.gather(*(self._send() for _ in range(AT_ONCE)))

    def leave_out(self, url: str) -> None:
        """Use a host no more."""
        self._urls.remove(url)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _send(self) -> None:
        self._count += 1
        request_id = f"r-{self._count}"
        number = self._random.randrange(OBJECTS)
        booking = self._random.random() < 1 / 3
        path = f"/bookings/{number}" if booking else f"/kit/{number}"
        key = self._random.choice(self._keys)
        status = await self._answer(request_id, path, key, number, booking=booking)
        self.sent.append(Sent(request_id, path, key, status))

    async def _answer(
        self, request_id: str, path: str, key: str, number: int, *, booking: bool
    ) -> int:
        found = {
            "Host": "rental.example",
            "Cookie": f"{headers.AFFINITY_COOKIE}={number}",
            headers.REQUEST_ID: request_id,
            headers.DEADLINE_MS: str(PATIENCE_MS),
            headers.API_KEY: key,
        }
        url = self._random.choice(self._urls) + path
        method = "POST" if booking else "GET"
        try:
            async with self._session.request(method, url, headers=found) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return NO_ANSWER
