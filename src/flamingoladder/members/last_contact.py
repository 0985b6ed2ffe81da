"""When each host was last heard from, over any peer link of this host."""

from __future__ import annotations


class LastContact:
    """The time of the last sign of life of each host, in monotonic seconds."""

    __slots__ = ("_heard_by_host", "_since")

    def __init__(self, now: float) -> None:
        self._since = now
        self._heard_by_host: dict[str, float] = {}

    def record(self, host: str, now: float) -> None:
        """Take in a sign of life."""
        self._heard_by_host[host] = now

    def elapsed_s(self, host: str, now: float) -> float:
        """Return for how many seconds nothing has been heard from ``host``."""
        return now - self._heard_by_host.get(host, self._since)
