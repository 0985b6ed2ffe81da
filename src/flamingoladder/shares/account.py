"""What one host keeps of one allowance: its loans and the requests that it holds."""

from __future__ import annotations

import asyncio
from math import isfinite
from typing import TYPE_CHECKING

from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.held import HeldRequests

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.shares.lending import Lending

MIN_COME_BACK_S = 0.001
MAX_COME_BACK_S = 0.05


class Account:
    """Spends the tokens of one allowance, held requests first, and only with proof."""

    __slots__ = ("_state", "_timer", "held", "lending", "on_change")

    def __init__(
        self, lending: Lending, state: StateInForce, on_change: Callable[[Account, float], None]
    ) -> None:
        self.lending = lending
        self.held = HeldRequests()
        self.on_change = on_change
        self._state = state
        self._timer: asyncio.TimerHandle | None = None

    def pay(self, now: float) -> bool:
        """Spend a unit for a new request, unless earlier ones wait for theirs."""
        if self.held.first() or not self._spend(now):
            return False
        self.on_change(self, now)
        return True

    def is_worth_holding(self, hold_s: float, now: float) -> bool:
        """Return whether a request at the end of the queue may be paid for within ``hold_s``."""
        return len(self.held) * NANOS_PER_UNIT < self.lending.tokens_within(hold_s, now)

    def retry_after_s(self) -> float | None:
        """Return the seconds until this host's own rate brings a token for one more request."""
        wanted = (len(self.held) + 1) * NANOS_PER_UNIT
        seconds = self.lending.bucket.seconds_until(wanted)
        return seconds if isfinite(seconds) else None

    async def wait(self, until: float) -> bool:
        """Hold a request until it is paid for or ``until`` has come; return whether it is paid."""
        loop = asyncio.get_running_loop()
        waiter = self.held.join()
        self.serve(loop.time())
        try:
            async with asyncio.timeout_at(until):
                await waiter
        except TimeoutError:
            return waiter.done() and not waiter.cancelled()
        finally:
            self.held.leave(waiter)
            self.lending.waiting = len(self.held)
        return True

    def serve(self, now: float) -> None:
        """Let held requests go on as far as the tokens reach, and come back for the others."""
        while self.held.first() and self._spend(now):
            self.held.release_first()
        self.lending.waiting = len(self.held)
        self.on_change(self, now)
        self._come_back(now)

    def _spend(self, now: float) -> bool:
        return self._state.has_proof(now) and self.lending.bucket.spend(now)

    def _come_back(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self.held.first():
            return
        delay_s = self.lending.bucket.seconds_until(NANOS_PER_UNIT)
        delay_s = min(max(delay_s, MIN_COME_BACK_S), MAX_COME_BACK_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(now + delay_s, self._serve_again)

    def _serve_again(self) -> None:
        self.serve(asyncio.get_running_loop().time())
