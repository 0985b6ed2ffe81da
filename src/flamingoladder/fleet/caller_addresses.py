"""How many callers of a failure domain can be told apart by their addresses."""

from __future__ import annotations

MIN_ADDRESSES = 4
WINDOW_S = 60.0


class CallerAddresses:
    """Tells whether look-ups come from several addresses, so that answers may differ by address.

    Load: all callers of a failure domain behind one address. If they all got the same few hosts,
    the others would stay idle.
    """

    __slots__ = ("_seen_at_by_domain",)

    def __init__(self) -> None:
        self._seen_at_by_domain: dict[str, dict[str, float]] = {}

    def are_many(self, failure_domain: str, caller: str, now: float) -> bool:
        """Record a look-up; return whether ``MIN_ADDRESSES`` asked within ``WINDOW_S``."""
        seen_at = self._seen_at_by_domain.setdefault(failure_domain, {})
        seen_at[caller] = now
        if len(seen_at) > MIN_ADDRESSES:
            del seen_at[min(seen_at, key=seen_at.__getitem__)]
        return sum(now - at < WINDOW_S for at in seen_at.values()) >= MIN_ADDRESSES
