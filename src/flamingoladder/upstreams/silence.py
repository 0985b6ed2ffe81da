"""Finds requests whose connection has gone silent while new connections work.

A request without a new byte of its answer for the check time makes this host ask the target over a
new connection. If that works, no kept connection takes new requests. Then a second attempt is made,
if that is allowed, and the first whole answer is taken. A silent request is so found within twice
the check time and the probe's timeout, at most three times the check time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from flamingoladder.transport.exchange import Exchange
    from flamingoladder.upstreams.connections import TargetConnections
    from flamingoladder.verdict import Answer

HEALTH_PATH = "/health"
PART_OF_TIME_LEFT = 0.5


def check_time_s(silence_s: float, deadline: float, now: float) -> float:
    """Return the check time: ``silence_s``, or less if the deadline would leave no second try."""
    return min(silence_s, (deadline - now) * PART_OF_TIME_LEFT)


class SilenceWatch:
    """Watches one exchange, as a context around it.

    ``second`` makes the second attempt; it is told whether new connections to the target work.
    Leaving the context cancels a second attempt that is still under way.
    """

    __slots__ = (
        "_check_s",
        "_connections",
        "_exchange",
        "_second",
        "_second_started",
        "_seen",
        "_task",
        "_timer",
    )

    def __init__(
        self,
        exchange: Exchange,
        connections: TargetConnections,
        check_s: float,
        second: Callable[[bool], Awaitable[Answer | None]],
    ) -> None:
        self._exchange = exchange
        self._connections = connections
        self._check_s = check_s
        self._second = second
        self._second_started = False
        self._seen = 0
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[Answer | None] | None = None

    def __enter__(self) -> SilenceWatch:
        """Start to watch."""
        self._arm()
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop to watch."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def second_answer(self) -> Answer | None:
        """Return the answer of the second attempt, or None if there is none."""
        if self._task is None or not self._second_started:
            return None
        return await self._task

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._check_s, self._look)

    def _look(self) -> None:
        if self._exchange.progress != self._seen:
            self._seen = self._exchange.progress
            self._arm()
            return
        self._exchange.silent = True
        self._task = asyncio.create_task(self._judge())

    async def _judge(self) -> Answer | None:
        alive = await self._connections.get_over_new_connection(HEALTH_PATH, self._check_s)
        if self._exchange.progress != self._seen:
            self._exchange.silent = False
            self._arm()
            return None
        if alive is not None:
            await self._connections.renew()
        self._second_started = True
        answer = await self._second(alive is not None)
        if answer is not None:
            self._exchange.abandon()
        return answer
