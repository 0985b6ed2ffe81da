"""The health of each target, from this host's requests and from probes.

Passive checks take precedence over probes: failed requests of this host eject a target whatever its
health endpoint reports, and a target that answers them stays in use when a probe fails.
"""

from __future__ import annotations

from math import ceil
from math import inf
from typing import TYPE_CHECKING

from flamingoladder.steering.chooser import AttemptOutcome

if TYPE_CHECKING:
    from flamingoladder.targets.pause import TargetPause
    from flamingoladder.upstreams.probe_messages import ProbeReply

FAILURES_TO_EJECT = 2
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 10.0
OWN_SUCCESS_TTL_S = 3.0
NEVER = float("-inf")

FAILURE_OUTCOMES = frozenset(
    {
        AttemptOutcome.INVALID,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.LOST,
        AttemptOutcome.SILENT,
    }
)
# After these a target comes back as warm as it was.
STILL_RUNNING_OUTCOMES = frozenset({AttemptOutcome.INVALID, AttemptOutcome.SILENT})


class TargetHealth:
    """The health of one target; all times are in monotonic seconds.

    ``leaving`` is set once the target says in an answer that it leaves, until it starts again.
    ``pause`` is None until the target names one.
    """

    __slots__ = (
        "_ejected_until",
        "_ejection_s",
        "_failures",
        "_last_success",
        "_slow_start_since",
        "_was_silent",
        "draining",
        "leaving",
        "pause",
        "probe_ok",
        "reported_load",
    )

    def __init__(self, slow_start_since: float = NEVER) -> None:
        self.probe_ok = True
        self.draining = False
        self.leaving = False
        self.pause: TargetPause | None = None
        self._was_silent = False
        self.reported_load: float | None = None
        self._failures = 0
        self._ejection_s = BASE_EJECTION_S
        self._ejected_until = NEVER
        self._last_success = NEVER
        self._slow_start_since = slow_start_since

    def record_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of one of this host's requests."""
        if outcome is AttemptOutcome.ANSWERED:
            self._failures = 0
            self._ejection_s = BASE_EJECTION_S
            self._last_success = now
            return
        if outcome not in FAILURE_OUTCOMES:
            return
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT or self.ejected(now):
            return
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
        if outcome not in STILL_RUNNING_OUTCOMES:
            self._slow_start_since = self._ejected_until

    def record_probe(self, reply: ProbeReply) -> None:
        """Record the result of a probe."""
        self._was_silent |= not reply.answered
        if reply.ok and not reply.draining and self._was_silent:
            # It was gone, so this is its next start.
            self.leaving = self._was_silent = False
        self.probe_ok = reply.ok
        self.draining = reply.draining
        self.reported_load = reply.load

    def usable(self, now: float) -> bool:
        """Return whether new requests may go to the target."""
        return self.takes_work(now) and self.seems_well(now)

    def seems_well(self, now: float) -> bool:
        """Return whether probes or recent answers say that the target is healthy."""
        return self.probe_ok or now - self._last_success < OWN_SUCCESS_TTL_S

    def takes_work(self, now: float) -> bool:
        """Return whether requests may go to the target, whatever probes say of its health."""
        if self.draining or self.leaving or now < self._ejected_until:
            return False
        return self.pause is None or self.pause.allows_send(now)

    def count_send(self, now: float) -> None:
        """Count a request that is being sent to the target."""
        if self.pause is not None:
            self.pause.count_send(now)

    def rest_s(self, now: float) -> float:
        """Return the seconds until the target wants requests, infinite if it leaves."""
        if self.draining or self.leaving:
            return inf
        return 0.0 if self.pause is None else max(0.0, self.pause.resume_at - now)

    def usable_slots(self, declared: int, ramp_s: float, now: float) -> int:
        """Return how many of the ``declared`` slots may be used during slow start."""
        age_s = now - self._slow_start_since
        if age_s >= ramp_s:
            return declared
        return max(1, ceil(declared * age_s / ramp_s))

    def ejected(self, now: float) -> bool:
        """Return whether the target is ejected after failed requests."""
        return now < self._ejected_until


class HealthBoard:
    """The health of all targets, by ``service/target``."""

    __slots__ = ("_by_target",)

    def __init__(self) -> None:
        self._by_target: dict[str, TargetHealth] = {}

    def of(self, target: str) -> TargetHealth:
        """Return the target's health; a target without observations counts as healthy."""
        health = self._by_target.get(target)
        if health is None:
            health = self._by_target[target] = TargetHealth()
        return health
