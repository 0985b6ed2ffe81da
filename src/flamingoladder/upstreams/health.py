"""What this host knows of each target's health.

Own requests count for more than the target's word: failures of own requests take a target out of
use whatever its health endpoint says, and a target that answers own requests stays in use.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from flamingoladder.steering.chooser import AttemptOutcome

if TYPE_CHECKING:
    from flamingoladder.upstreams.probe_messages import ProbeReply

FAILURES_TO_EJECT = 2
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 10.0
OWN_SUCCESS_COUNTS_S = 3.0
LONG_AGO = float("-inf")

FAILED_ENDS = frozenset({AttemptOutcome.UNREACHABLE, AttemptOutcome.LOST, AttemptOutcome.SILENT})


class TargetHealth:
    """The health of one target; all times are monotonic seconds."""

    __slots__ = (
        "_ejected_until",
        "_ejection_s",
        "_failures",
        "_last_success",
        "_warm_since",
        "draining",
        "probe_ok",
        "reported_load",
    )

    def __init__(self, warm_since: float = LONG_AGO) -> None:
        self.probe_ok = True
        self.draining = False
        self.reported_load: float | None = None
        self._failures = 0
        self._ejection_s = FIRST_EJECTION_S
        self._ejected_until = LONG_AGO
        self._last_success = LONG_AGO
        self._warm_since = warm_since

    def observe(self, end: AttemptOutcome, now: float) -> None:
        """Take in how an own request ended."""
        if end is AttemptOutcome.ANSWERED:
            self._failures = 0
            self._ejection_s = FIRST_EJECTION_S
            self._last_success = now
            return
        if end not in FAILED_ENDS:
            return
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT or self.ejected(now):
            return
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(2 * self._ejection_s, LONGEST_EJECTION_S)
        if end is not AttemptOutcome.SILENT:
            self._warm_since = self._ejected_until

    def observe_probe(self, reply: ProbeReply) -> None:
        """Take in the target's own word."""
        self.probe_ok = reply.ok
        self.draining = reply.draining
        self.reported_load = reply.load

    def usable(self, now: float) -> bool:
        """Return whether new requests may go to the target."""
        if self.draining or self.ejected(now):
            return False
        return self.probe_ok or now - self._last_success < OWN_SUCCESS_COUNTS_S

    def slots(self, declared: int, ramp_s: float, now: float) -> int:
        """Return how many of the ``declared`` slots may be used while the target warms up."""
        age_s = now - self._warm_since
        if age_s >= ramp_s:
            return declared
        return max(1, ceil(declared * age_s / ramp_s))

    def ejected(self, now: float) -> bool:
        """Return whether own requests failed so recently that none is tried."""
        return now < self._ejected_until


class HealthBoard:
    """The health of all targets, by ``service/target``."""

    __slots__ = ("_by_target",)

    def __init__(self) -> None:
        self._by_target: dict[str, TargetHealth] = {}

    def of(self, target: str) -> TargetHealth:
        """Return the target's health, assumed good until something else is seen."""
        health = self._by_target.get(target)
        if health is None:
            health = self._by_target[target] = TargetHealth()
        return health
