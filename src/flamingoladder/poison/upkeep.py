"""Keeps what hosts know of ended targets alike: after a start, a cut or a lost report."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from flamingoladder.poison.repeat_schedule import REPORT_INTERVAL_S
from flamingoladder.poison.repeat_schedule import RepeatSchedule
from flamingoladder.waiting import is_set_within

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from flamingoladder.poison.detector import PoisonDetector
    from flamingoladder.poison.exchange import PoisonExchange
    from flamingoladder.timeline.recorder import Recorder

ASKED_AT_ONCE = 3
ASK_INTERVAL_S = 0.05
# A host that no other one and no store answers takes requests after this time all the same.
MAX_ASKING_S = 0.2


class PoisonUpkeep:
    """Asks other hosts at the start, then repeats what counts against requests to all of them.

    ``hosts_to_ask`` returns the names of other hosts, the best first, or None while this host was
    told of none. ``restored`` is set once the evidence in the store was read. Until ``is_informed``
    an entry host sends no request to a target.
    """

    __slots__ = (
        "_detector",
        "_exchange",
        "_hosts_to_ask",
        "_recorder",
        "_repeats",
        "_restored",
        "is_informed",
    )

    def __init__(
        self,
        detector: PoisonDetector,
        exchange: PoisonExchange,
        hosts_to_ask: Callable[[], Sequence[str] | None],
        restored: asyncio.Event,
        recorder: Recorder,
    ) -> None:
        self._detector = detector
        self._exchange = exchange
        self._hosts_to_ask = hosts_to_ask
        self._restored = restored
        self._recorder = recorder
        self._repeats = RepeatSchedule(recorder.host)
        self.is_informed = False

    async def run(self) -> None:
        """Learn what the fleet knows, then report until cancelled."""
        if not self.is_informed:
            await self._ask()
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now = loop.time()
            self._detector.expire(now)
            if not self._repeats.is_due(len(self._hosts_to_ask() or ()) + 1, now):
                continue
            report = self._detector.report(now, everything=False)
            if report.ends:
                self._exchange.broadcast(report)

    async def _ask(self) -> None:
        loop = asyncio.get_running_loop()
        until = inf
        answered = False
        while not answered and loop.time() < until:
            await asyncio.sleep(ASK_INTERVAL_S)
            hosts = self._hosts_to_ask()
            if hosts is not None:
                until = min(until, loop.time() + MAX_ASKING_S)
                answered = await self._ask_some(hosts)
        # The store's evidence may still come later.
        restored = await is_set_within(self._restored, until - loop.time())
        self._recorder.record("poison.asked", answered=answered, restored=restored)
        self.is_informed = True

    async def _ask_some(self, hosts: Sequence[str]) -> bool:
        """Return whether one of the hosts told what it knows."""
        replies = await asyncio.gather(*map(self._exchange.query, hosts[:ASKED_AT_ONCE]))
        now = asyncio.get_running_loop().time()
        for reply in replies:
            if reply is not None:
                self._detector.learn(reply, now)
        return any(reply is not None for reply in replies)
