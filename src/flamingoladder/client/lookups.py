"""Look-up answers, cached for their lifetime, and the order in which their hosts are used."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING
from urllib.parse import quote
from uuid import uuid4

import msgspec

from flamingoladder.steering.lookup import LookupAnswer

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.client.entry_hosts import EntryHosts

LOOKUP_TIMEOUT_S = 0.5


class CachedLookup:
    """A look-up answer and the monotonic time, in seconds, at which its lifetime ends."""

    __slots__ = ("answer", "ends")

    def __init__(self, answer: LookupAnswer, asked: float) -> None:
        self.answer = answer
        self.ends = asked + answer.lifetime_s


class Lookups:
    """The answers by service; calls that need the same new answer wait for one look-up."""

    __slots__ = ("_cached_by_service", "_entry_urls", "_hosts", "_locks_by_service", "_random")

    def __init__(self, hosts: EntryHosts, entry_urls: tuple[str, ...], random: Random) -> None:
        self._hosts = hosts
        self._entry_urls = entry_urls
        self._random = random
        self._cached_by_service: dict[str, CachedLookup] = {}
        self._locks_by_service: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def urls_for(self, service: str, deadline: float) -> list[str]:
        """Return the hosts to use: of a live answer, else of an old one, else the settings'."""
        async with self._locks_by_service[service]:
            cached = self._cached_by_service.get(service)
            if cached is None or _now() >= cached.ends:
                cached = await self._look_up(service, deadline) or cached
        if cached is None:
            return list(self._entry_urls)
        return ordered_urls(cached.answer, self._random)

    async def _look_up(self, service: str, deadline: float) -> CachedLookup | None:
        path = f"/v1/lookup?service={quote(service, safe='')}"
        for url in self._urls_to_ask(service):
            asked = _now()
            give_up = min(asked + LOOKUP_TIMEOUT_S, (asked + deadline) / 2)
            outcome = await self._hosts.get(url, path, uuid4().hex, give_up)
            if outcome.is_error():
                continue
            answer = msgspec.json.decode(outcome.ok.body, type=LookupAnswer)
            self._cached_by_service[service] = CachedLookup(answer, asked)
            return self._cached_by_service[service]
        return None

    def _urls_to_ask(self, service: str) -> list[str]:
        cached = self._cached_by_service.get(service)
        named = [host.url for host in cached.answer.hosts] if cached else []
        return [*self._entry_urls, *(url for url in named if url not in self._entry_urls)]


def ordered_urls(answer: LookupAnswer, random: Random) -> list[str]:
    """Return the hosts' base URLs: one drawn by weight, then the others in the answer's order."""
    urls = [host.url for host in answer.hosts]
    weights = [host.weight for host in answer.hosts]
    if sum(weights) <= 0:
        return urls
    [first] = random.choices(urls, weights)
    return [first, *(url for url in urls if url != first)]


def _now() -> float:
    return asyncio.get_running_loop().time()
