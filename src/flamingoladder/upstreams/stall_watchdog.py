"""Detects stalled requests and hedges them.

If no byte of the answer arrives for the stall timeout, the target is probed over a new connection.
If the probe succeeds, the kept connections are retired. Then a hedge attempt is made, if allowed,
and the first complete answer is used. A stall is detected within twice the stall timeout plus the
probe timeout, at most three times the stall timeout.
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
MAX_DEADLINE_FRACTION = 0.5


def stall_timeout_for(silence_s: float, deadline: float, now: float) -> float:
    """Return ``silence_s``, or less so that the deadline leaves time for a hedge attempt."""
    return min(silence_s, (deadline - now) * MAX_DEADLINE_FRACTION)


class StallWatchdog:
    """Context manager that watches one exchange and hedges it if it stalls.

    ``hedge`` makes the hedge attempt; its argument is whether new connections to the target work.
    Leaving the context cancels a hedge attempt that is still in flight.
    """

    __slots__ = (
        "_connections",
        "_exchange",
        "_hedge",
        "_hedge_started",
        "_last_progress",
        "_stall_timeout_s",
        "_task",
        "_timer",
    )

    def __init__(
        self,
        exchange: Exchange,
        connections: TargetConnections,
        stall_timeout_s: float,
        hedge: Callable[[bool], Awaitable[Answer | None]],
    ) -> None:
        self._exchange = exchange
        self._connections = connections
        self._stall_timeout_s = stall_timeout_s
        self._hedge = hedge
        self._hedge_started = False
        self._last_progress = 0
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[Answer | None] | None = None

    def __enter__(self) -> StallWatchdog:
        """Start the stall timer."""
        self._start_timer()
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop the timer and cancel the hedge attempt."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def hedge_answer(self) -> Answer | None:
        """Return the answer of the hedge attempt, or None if there is none."""
        if self._task is None or not self._hedge_started:
            return None
        return await self._task

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._stall_timeout_s, self._check_progress)

    def _check_progress(self) -> None:
        if self._exchange.answer.steps != self._last_progress:
            self._last_progress = self._exchange.answer.steps
            self._start_timer()
            return
        self._exchange.silent = True
        self._task = asyncio.create_task(self._probe_and_hedge())

    async def _probe_and_hedge(self) -> Answer | None:
        health_answer = await self._connections.get_over_new_connection(
            HEALTH_PATH, self._stall_timeout_s
        )
        if self._exchange.answer.steps != self._last_progress:
            self._exchange.silent = False
            self._start_timer()
            return None
        if health_answer is not None:
            await self._connections.renew()
        self._hedge_started = True
        answer = await self._hedge(health_answer is not None)
        if answer is not None:
            self._exchange.abandon()
        return answer
