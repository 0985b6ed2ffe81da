"""The time of the last message from each host, over any peer link of this host."""

from __future__ import annotations


class LastContact:
    """The time of the last message from each host, in monotonic seconds."""

    __slots__ = ("_contact_at_by_host", "_started_at")

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._contact_at_by_host: dict[str, float] = {}

    def record(self, host: str, now: float) -> None:
        """Record a message received from ``host`` at ``now``."""
        self._contact_at_by_host[host] = now

    def elapsed_s(self, host: str, now: float) -> float:
        """Return the seconds since the last message from ``host``, or since the start if none."""
        return now - self._contact_at_by_host.get(host, self._started_at)
