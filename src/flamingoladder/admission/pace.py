"""How many queued requests a host sends into slots that others may have seen too."""

from __future__ import annotations

from flamingoladder.admission.demand import DecayingCount

# Sends per second, and as a fraction of the rate at which the host's own requests end.
MIN_PER_S = 1.0
GROWTH = 0.25
MAX_TOKENS = 2.0


class Pace:
    """Limits the sends that follow neither an end nor an arrival of a request at this host.

    Load: all hosts have queued requests, and see the same slot free in the same reports. If each
    sent one there, the slot would get as many requests as there are hosts. So a host mainly sends
    as many as it had ended, and takes further slots slowly.
    """

    __slots__ = ("_ended", "_tokens", "_updated_at")

    def __init__(self, now: float) -> None:
        self._ended = DecayingCount(now)
        self._tokens = 1.0
        self._updated_at = now

    def record_end(self, now: float) -> None:
        """Count a request of this host that ended."""
        self._ended.add(now)

    def limit(self, now: float) -> int:
        """Return how many requests may be sent now."""
        per_s = MIN_PER_S + GROWTH * self._ended.per_s(now)
        self._tokens = min(MAX_TOKENS, self._tokens + per_s * (now - self._updated_at))
        self._updated_at = now
        return int(self._tokens)

    def take(self, count: int) -> None:
        """Count requests that were sent within the limit."""
        self._tokens -= count
