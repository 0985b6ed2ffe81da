"""When a host repeats to the others what it knows of ended targets."""

from __future__ import annotations

from flamingoladder.hashing import HASH_RANGE
from flamingoladder.hashing import stable_hash

REPORT_INTERVAL_S = 1.0
# Up to this many hosts each repeats at every interval; a larger fleet repeats as often in all.
HOSTS_AT_FULL_RATE = 8


class RepeatSchedule:
    """Spreads the repeats of a fleet, in which all hosts soon know the same ended targets.

    It answers the load after the loss of targets in a large fleet. If each host repeated every
    second, hosts x hosts messages a second would carry the same report.
    """

    __slots__ = ("_last_slot", "_offset")

    def __init__(self, host: str) -> None:
        self._offset = stable_hash("poison repeat", host) / HASH_RANGE
        self._last_slot: int | None = None

    def is_due(self, hosts: int, now: float) -> bool:
        """Return whether to repeat now, in a fleet of ``hosts``; asked once an interval."""
        hosts_per_slot = max(1.0, hosts / HOSTS_AT_FULL_RATE)
        slot = int(now / (REPORT_INTERVAL_S * hosts_per_slot) + self._offset)
        is_new = slot != self._last_slot
        is_first = self._last_slot is None
        self._last_slot = slot
        return is_new and (not is_first or hosts_per_slot == 1.0)
