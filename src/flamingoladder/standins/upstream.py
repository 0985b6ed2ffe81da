"""The state of one upstream target: its slots, service times, reports and control."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.standins.exceptions import ShedError
from flamingoladder.standins.upstream_messages import LoadReport
from flamingoladder.standins.upstream_messages import ServiceTime

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from flamingoladder.standins.upstream_messages import Control
    from flamingoladder.standins.upstream_messages import UpstreamSettings

KEPT_REPORTS = 10_000
MILLISECONDS_PER_SECOND = 1_000


class UpstreamTarget:
    """One target; ``now`` is monotonic time in seconds throughout."""

    __slots__ = (
        "_cold_since",
        "_healthy",
        "_in_progress",
        "_load_lag_s",
        "_random",
        "_reported_in_progress",
        "_reports",
        "_service_ms",
        "_slots",
        "_waiting",
        "draining",
        "name",
        "settings",
    )

    def __init__(self, name: str, settings: UpstreamSettings, random: Random, now: float) -> None:
        self.name = name
        self.settings = settings
        self.draining = False
        self._random = random
        self._cold_since = now
        self._service_ms = settings.service_ms
        self._slots = asyncio.Semaphore(settings.slots)
        self._in_progress = 0
        self._waiting = 0
        self._healthy: bool | None = None
        self._reported_in_progress: int | None = None
        self._load_lag_s = 0.0
        self._reports: deque[tuple[float, int]] = deque([(now, 0)], maxlen=KEPT_REPORTS)

    @property
    def healthy(self) -> bool:
        """Return what the health endpoint says."""
        return not self.draining if self._healthy is None else self._healthy

    def restart_ramp(self, now: float) -> None:
        """Make the target cold."""
        self._cold_since = now

    def service_time_s(self, now: float) -> float:
        """Return the service time of a run that starts at ``now``, in seconds."""
        mean_s = self._service_ms * self._cold_factor(now) / MILLISECONDS_PER_SECOND
        if self.settings.service_time == ServiceTime.FIXED or mean_s == 0:
            return mean_s
        return self._random.expovariate(1 / mean_s)

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Hold a slot, after waiting for one in the queue.

        :raises ShedError: if the target is draining or its queue is full.
        """
        await self._wait_for_slot()
        self._count(+1)
        try:
            yield
        finally:
            self._count(-1)
            self._slots.release()

    def load(self, now: float) -> LoadReport:
        """Return the load report at ``now``, late or wrong if so told."""
        return LoadReport(self._reported(now), self.settings.slots, self.draining)

    def control(self, control: Control, now: float) -> None:
        """Apply a control message."""
        if control.draining is not msgspec.UNSET:
            self.draining = control.draining
        if control.healthy is not msgspec.UNSET:
            self._healthy = control.healthy
        if control.reported_in_progress is not msgspec.UNSET:
            self._reported_in_progress = control.reported_in_progress
        if control.load_lag_s is not msgspec.UNSET:
            self._load_lag_s = control.load_lag_s
        if control.service_ms is not msgspec.UNSET:
            self._service_ms = control.service_ms
        if control.restart_ramp:
            self.restart_ramp(now)

    async def _wait_for_slot(self) -> None:
        if self.draining:
            raise ShedError("draining")
        if self._slots.locked() and self._waiting >= self.settings.queue:
            raise ShedError("all slots and the queue are full")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1

    def _count(self, change: int) -> None:
        self._in_progress += change
        self._reports.append((asyncio.get_running_loop().time(), self._in_progress))

    def _reported(self, now: float) -> int:
        if self._reported_in_progress is not None:
            return self._reported_in_progress
        if self._load_lag_s == 0:
            return self._in_progress
        horizon = now - self._load_lag_s
        seen = (count for at, count in reversed(self._reports) if at <= horizon)
        return next(seen, 0)

    def _cold_factor(self, now: float) -> float:
        if self.settings.ramp_s <= 0:
            return 1.0
        left = max(0.0, 1 - (now - self._cold_since) / self.settings.ramp_s)
        return 1 + (self.settings.cold_factor - 1) * left
