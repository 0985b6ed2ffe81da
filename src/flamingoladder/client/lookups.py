"""Look-up answers, cached for their lifetime, and the order in which their hosts are tried."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING
from urllib.parse import quote
from uuid import uuid4

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.steering.lookup import LookupAnswer

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.client.entry_hosts import EntryHosts

LOOKUP_TIMEOUT_S = 0.5

_decoder = Decoder.of_json(LookupAnswer)


class CachedLookup:
    """A look-up answer and when it expires, in monotonic seconds."""

    __slots__ = ("answer", "expires_at")

    def __init__(self, answer: LookupAnswer, requested_at: float) -> None:
        self.answer = answer
        self.expires_at = requested_at + answer.lifetime_s


class Lookups:
    """Cached look-up answers by service; concurrent calls for a service share one look-up."""

    __slots__ = ("_cached_by_service", "_entry_urls", "_hosts", "_locks_by_service", "_random")

    def __init__(self, hosts: EntryHosts, entry_urls: tuple[str, ...], random: Random) -> None:
        self._hosts = hosts
        self._entry_urls = entry_urls
        self._random = random
        self._cached_by_service: dict[str, CachedLookup] = {}
        self._locks_by_service: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def urls_for(self, service: str, deadline: float) -> list[str]:
        """Return the base URLs of the hosts to try.

        They are those of an unexpired answer, else of an expired one, else the configured ones.
        """
        async with self._locks_by_service[service]:
            cached = self._cached_by_service.get(service)
            if cached is None or _now() >= cached.expires_at:
                cached = await self._look_up(service, deadline) or cached
        if cached is None:
            return list(self._entry_urls)
        return ordered_urls(cached.answer, self._random)

    async def _look_up(self, service: str, deadline: float) -> CachedLookup | None:
        path = f"/v1/lookup?service={quote(service, safe='')}"
        for url in self._lookup_urls(service):
            requested_at = _now()
            abort_at = min(requested_at + LOOKUP_TIMEOUT_S, (requested_at + deadline) / 2)
            outcome = await self._hosts.get(url, path, uuid4().hex, abort_at)
            if outcome.is_error():
                continue
            try:
                answer = _decoder.decode(outcome.ok.body)
            except MalformedValueError:
                continue
            self._cached_by_service[service] = CachedLookup(answer, requested_at)
            return self._cached_by_service[service]
        return None

    def _lookup_urls(self, service: str) -> list[str]:
        cached = self._cached_by_service.get(service)
        listed = [host.url for host in cached.answer.hosts] if cached else []
        return [*self._entry_urls, *(url for url in listed if url not in self._entry_urls)]


def ordered_urls(answer: LookupAnswer, random: Random) -> list[str]:
    """Return the hosts' base URLs: a weighted random choice first, the others in their order."""
    urls = [host.url for host in answer.hosts]
    weights = [host.weight for host in answer.hosts]
    if sum(weights) <= 0:
        return urls
    [first] = random.choices(urls, weights)
    return [first, *(url for url in urls if url != first)]


def _now() -> float:
    return asyncio.get_running_loop().time()
