"""Finds requests whose connection has gone silent while new connections work.

A request without a new byte of its answer for the check time makes this host ask the target over a
new connection. If that works, no kept connection takes new requests. If the request still has no
new byte and another attempt is allowed, it is abandoned. A silent request is so found within twice
the check time and the probe's timeout, at most three times the check time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.transport.exchange import Exchange
    from flamingoladder.upstreams.connections import TargetConnections

HEALTH_PATH = "/health"
PART_OF_TIME_LEFT = 0.5


def check_time_s(silence_s: float, deadline: float, now: float) -> float:
    """Return the check time: ``silence_s``, or less if the deadline would leave no second try."""
    return min(silence_s, (deadline - now) * PART_OF_TIME_LEFT)


class SilenceWatch:
    """Watches one exchange, as a context around it; ``may_abandon`` is asked at most once."""

    __slots__ = (
        "_check_s",
        "_connections",
        "_exchange",
        "_may_abandon",
        "_seen",
        "_task",
        "_timer",
    )

    def __init__(
        self,
        exchange: Exchange,
        connections: TargetConnections,
        check_s: float,
        may_abandon: Callable[[], bool],
    ) -> None:
        self._exchange = exchange
        self._connections = connections
        self._check_s = check_s
        self._may_abandon = may_abandon
        self._seen = 0
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def __enter__(self) -> None:
        """Start to watch."""
        self._arm()

    def __exit__(self, *_exception: object) -> None:
        """Stop to watch."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

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

    async def _judge(self) -> None:
        alive = await self._connections.get_over_new_connection(HEALTH_PATH, self._check_s)
        if self._exchange.progress != self._seen:
            self._exchange.silent = False
            self._arm()
            return
        if alive is not None:
            await self._connections.renew()
        if self._may_abandon():
            self._exchange.abandon()
