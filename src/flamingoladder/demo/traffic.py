"""Callers of all workspaces, and a record of what became of each call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.client.call import Call
from flamingoladder.client.caller import Caller
from flamingoladder.client.settings import CallerSettings

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from flamingoladder.config.model import Deployment
    from flamingoladder.verdict import Outcome


class Kind(msgspec.Struct, frozen=True):
    """A kind of call and its weight among all calls."""

    service: str
    method: str
    path: str
    weight: float


LOOK_WEIGHT = 6.0
WORK_WEIGHT = 1.5
LOAD = 0.12


def kinds_of(deployment: Deployment) -> list[Kind]:
    """Return all non-idempotent work, and looks at the services that have nothing else."""
    kinds = []
    for service, declared in deployment.services.items():
        work = [route for route in declared.routes if not route.idempotent]
        kinds += [Kind(service, route.methods[0], route.path, WORK_WEIGHT) for route in work]
        if not work:
            kinds.append(Kind(service, "GET", "/items/1", LOOK_WEIGHT))
    return kinds


class Sent:
    """A call that was sent; times are monotonic seconds."""

    __slots__ = ("call", "ended", "key_id", "outcome", "started")

    def __init__(self, call: Call, key_id: str, started: float) -> None:
        self.call = call
        self.key_id = key_id
        self.started = started
        self.ended = started
        self.outcome: Outcome | None = None

    @property
    def duration_s(self) -> float:
        """Return how long the call took, in seconds."""
        return self.ended - self.started


class Traffic:
    """Sends calls with random pauses until it is stopped."""

    __slots__ = ("_callers", "_entry_urls", "_kinds", "_random", "_sending", "_sources", "sent")

    def __init__(self, entry_urls: Sequence[str], kinds: Sequence[Kind], random: Random) -> None:
        self._entry_urls = tuple(entry_urls)
        self._kinds = kinds
        self._random = random
        self._callers: list[Caller] = []
        self._sources: list[asyncio.Task[None]] = []
        self._sending: set[asyncio.Task[None]] = set()
        self.sent: list[Sent] = []

    def add_source(self, key_id: str, key: str, rate_per_s: float) -> None:
        """Send calls with ``key`` at a mean rate from now on."""
        caller = Caller(CallerSettings(entry_urls=self._entry_urls, key=key), self._random)
        self._callers.append(caller)
        source = asyncio.create_task(self._send_for_good(caller, key_id, rate_per_s))
        self._sources.append(source)

    async def stop(self) -> None:
        """Send no more calls, and wait for the outcomes of those under way."""
        for source in self._sources:
            source.cancel()
        await asyncio.gather(*self._sending)
        for caller in self._callers:
            await caller.close()

    async def _send_for_good(self, caller: Caller, key_id: str, rate_per_s: float) -> None:
        weights = [kind.weight for kind in self._kinds]
        while True:
            await asyncio.sleep(self._random.expovariate(rate_per_s))
            [kind] = self._random.choices(self._kinds, weights)
            call = Call(kind.service, kind.path, kind.method)
            task = asyncio.create_task(self._send(caller, key_id, call))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send(self, caller: Caller, key_id: str, call: Call) -> None:
        loop = asyncio.get_running_loop()
        sent = Sent(call, key_id, loop.time())
        self.sent.append(sent)
        sent.outcome = await caller.call(call)
        sent.ended = loop.time()
