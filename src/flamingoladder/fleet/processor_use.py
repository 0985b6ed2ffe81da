"""How busy this host's process is, as it reports to the other hosts."""

from __future__ import annotations

import math

TENTHS = 10
SMOOTHING_S = 6.0
MAX_TENTHS = 20
# A value between two steps changes the reported one only beyond this, so that it does not flap.
STEP_HYSTERESIS = 0.6


class ProcessorUse:
    """Smooths a process's use of the processor and quantises it to tenths of its capacity.

    Load: a host whose work differs from what its capacity suggests. Callers that were sent away
    come back seconds later, so unsmoothed figures would send them to and fro.

    ``capacity_cores`` is 0 if it is not known; the use is then always 0.
    """

    __slots__ = ("_capacity_cores", "_observed_at", "_processor_s", "_use", "tenths")

    def __init__(self, capacity_cores: float) -> None:
        self._capacity_cores = capacity_cores
        self._observed_at: float | None = None
        self._processor_s = 0.0
        self._use = 0.0
        self.tenths = 0

    def observe(self, processor_s: float, now: float) -> int:
        """Return the use in tenths; ``processor_s`` is the processor time that was used so far."""
        if self._observed_at is None:
            self._observed_at, self._processor_s = now, processor_s
        elapsed_s = now - self._observed_at
        if elapsed_s <= 0 or self._capacity_cores <= 0:
            return self.tenths
        use = (processor_s - self._processor_s) / elapsed_s / self._capacity_cores
        self._observed_at, self._processor_s = now, processor_s
        self._use += (use - self._use) * (1 - math.exp(-elapsed_s / SMOOTHING_S))
        if abs(self._use * TENTHS - self.tenths) > STEP_HYSTERESIS:
            self.tenths = min(MAX_TENTHS, round(self._use * TENTHS))
        return self.tenths
