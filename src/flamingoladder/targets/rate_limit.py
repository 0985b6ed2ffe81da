"""The rate limit that a target advertises in its answers."""

from __future__ import annotations

import msgspec


class RateLimitNotice(msgspec.Struct, frozen=True):
    """What an answer says: the requests per second that the target takes from all hosts together.

    ``per_s`` is None if the target has no limit. ``unreadable`` is the start of a value that is no
    number from 0 on; what earlier answers said then holds.
    """

    per_s: float | None
    unreadable: str = ""


NO_RATE_LIMIT = RateLimitNotice(None)
