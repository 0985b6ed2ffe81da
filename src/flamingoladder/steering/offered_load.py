"""How many slots of each service this host's callers ask for."""

from __future__ import annotations

import math

SMOOTHING_S = 2.0
RUN_TIME_WEIGHT = 0.05
TENTHS = 10


class _Service:
    """Rate of arrivals in requests per second, and mean run time in seconds."""

    __slots__ = ("per_s", "run_s", "updated_at")

    def __init__(self) -> None:
        self.per_s = 0.0
        self.run_s = 0.0
        self.updated_at = 0.0

    def decay(self, now: float) -> None:
        self.per_s *= math.exp(-max(0.0, now - self.updated_at) / SMOOTHING_S)
        self.updated_at = now


class OfferedLoad:
    """Arrivals times run time by service: the slots that would be busy if no request waited.

    Load: a wave of demand over the regions. Refused and waiting requests count as well, so the
    figure does not depend on how requests are split between regions.
    """

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, _Service] = {}

    def record_arrival(self, service: str, now: float) -> None:
        """Record a request from a caller; retries of the host do not count."""
        found = self._of(service)
        found.decay(now)
        found.per_s += 1 / SMOOTHING_S

    def record_run(self, service: str, seconds: float) -> None:
        """Record the duration of a run that did not wait at its target."""
        found = self._of(service)
        weight = RUN_TIME_WEIGHT if found.run_s else 1.0
        found.run_s += (seconds - found.run_s) * weight

    def report(self, now: float) -> dict[str, int]:
        """Return the offered load by service, in tenths of a slot."""
        for found in self._by_service.values():
            found.decay(now)
        tenths = {
            service: round(found.per_s * found.run_s * TENTHS)
            for service, found in self._by_service.items()
        }
        return {service: load for service, load in tenths.items() if load}

    def _of(self, service: str) -> _Service:
        return self._by_service.setdefault(service, _Service())
