"""The rate limit that a target names in its answers, and this host's part of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.targets.fleet_share import SendWindow

if TYPE_CHECKING:
    from flamingoladder.targets.fleet_share import FleetShare

WINDOW_S = 4.0
# Even a target that takes nothing gets a request now and then, as only its answers tell of the end.
MIN_FLEET_REQUESTS = 1
# A host without a part tries the target if no host has told of the limit for this long. The hosts
# do so one after the other, so that they hear of the first one's answer before they try.
STALE_S = 15.0
STALE_STEP_S = 1.0
REPORTED_S = 2.0
# All hosts report the end of a limit again for this long, so that no single lost report matters.
END_REPORTED_S = 10.0
MS_PER_S = 1_000


class RateLimitNotice(msgspec.Struct, frozen=True):
    """What an answer says: the requests per second that the target takes from all hosts together.

    ``per_s`` is None if the target has no limit. ``unreadable`` is the start of a value that is no
    number from 0 on; what earlier answers said then holds.
    """

    per_s: float | None
    unreadable: str = ""


NO_RATE_LIMIT = RateLimitNotice(None)


class RateLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a target told the reporting host, and how long ago in milliseconds."""

    per_s: float | None
    age_ms: int


class Told(msgspec.Struct, frozen=True):
    """A limit in requests per second or None, and when it was true, in monotonic seconds.

    An answer that names a limit counts from its arrival; one that names none counts only from when
    its request was sent, as the target may have named one to another request meanwhile.
    """

    per_s: float | None
    at: float


class TargetRateLimit:
    """The limit that a target named, as this host or another one was told last.

    ``sends`` counts this host's sends since it knows of the limit.
    """

    __slots__ = ("_ended_at", "_newest", "_own", "sends")

    def __init__(self, told: Told) -> None:
        self._newest = told
        self._own: Told | None = None
        self._ended_at = told.at
        self.sends = SendWindow(WINDOW_S)

    @property
    def per_s(self) -> float | None:
        """Return the limit in requests per second, or None if the target has none any more."""
        return self._newest.per_s

    @property
    def fleet_requests(self) -> int:
        """Return the requests that all hosts together may send in any ``WINDOW_S`` seconds."""
        return max(MIN_FLEET_REQUESTS, int((self.per_s or 0.0) * WINDOW_S))

    def learn(self, told: Told) -> None:
        """Take in what this host or another one was told, unless newer is known."""
        if told.at <= self._newest.at:
            return
        if told.per_s is None and self._newest.per_s is not None:
            self._ended_at = told.at
        self._newest = told

    def learn_directly(self, told: Told) -> None:
        """Take in what the target told this host."""
        self.learn(told)
        if told.per_s is not None or told.at - self._ended_at <= END_REPORTED_S:
            self._own = told

    def allows_send(self, share: FleetShare, now: float) -> bool:
        """Return whether this host may send another request, with its ``share`` of the requests."""
        if self.per_s is None:
            return True
        is_stale = now - self._newest.at >= STALE_S + share.rank * STALE_STEP_S
        return self.sends.allows(max(share.requests, int(is_stale)), now)

    def report(self, now: float) -> RateLimitReport | None:
        """Return what to report to the other hosts, or None if the target told nothing lately."""
        if self._own is None or now - self._own.at >= REPORTED_S:
            return None
        return RateLimitReport(self._own.per_s, round((now - self._own.at) * MS_PER_S))
