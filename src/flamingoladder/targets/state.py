"""State of one target on a host."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING

from flamingoladder.targets.fleet_share import SendWindow
from flamingoladder.targets.notices import TargetNotices
from flamingoladder.targets.pace import PaceAverage
from flamingoladder.targets.queue_limit import QueueLimit
from flamingoladder.targets.rate_limit import TargetRateLimit
from flamingoladder.targets.slow_start import SEND_WINDOW_S

if TYPE_CHECKING:
    from flamingoladder.targets.notices import LoadReport
    from flamingoladder.targets.rate_limit import Told
    from flamingoladder.targets.record import TargetRecord

LOAD_REPORT_LIFETIME_S = 0.6
RECENT_OUTCOMES_KEPT = 8
MIN_FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 2.5
MAX_EJECTION_S = 10.0
RECENT_OBJECTS_KEPT = 16


class TargetState:
    """State of one target. Times are monotonic seconds.

    ``down`` is set when the target refuses connections, until a probe succeeds, and
    ``leaving`` when its registration or its answers say that it leaves. ``notices`` is what
    the target said of itself, None if that is nothing beyond its load.
    """

    __slots__ = (
        "_ejection_s",
        "_load",
        "_load_updated_at",
        "_outcomes",
        "_pace",
        "_recent_objects",
        "down",
        "ejected_until",
        "in_flight",
        "leaving",
        "notices",
        "queue_limit",
        "record",
        "region",
        "remote_in_flight",
        "remove_at",
        "slow_start_sends",
        "slow_start_until",
    )

    def __init__(self, record: TargetRecord, region: str, now: float) -> None:
        self.record = record
        self.region = region
        self.leaving = record.draining
        self.slow_start_until = now + record.slow_start_s
        self.slow_start_sends = SendWindow(SEND_WINDOW_S)
        self.in_flight = 0
        self.remote_in_flight = 0
        self.queue_limit = QueueLimit()
        self.notices: TargetNotices | None = None
        self.down = False
        self.ejected_until = now
        self.remove_at: float | None = None
        self._ejection_s = BASE_EJECTION_S
        self._load: int | None = None
        self._load_updated_at = now
        self._pace: PaceAverage | None = None
        self._outcomes: deque[bool] = deque(maxlen=RECENT_OUTCOMES_KEPT)
        self._recent_objects: OrderedDict[str, None] = OrderedDict()

    def update(self, record: TargetRecord, now: float) -> None:
        """Apply a newer registration; a restart of the target resets its recorded state."""
        if record.started_ms != self.record.started_ms or record.address != self.record.address:
            self._outcomes.clear()
            self._recent_objects.clear()
            self.down = False
            self.ejected_until = now
            self.queue_limit = QueueLimit()
            self.notices = None
            self._load = None
            self._pace = None
        self.slow_start_until = max(self.slow_start_until, now + record.slow_start_s)
        says_leaving = self.notices is not None and self.notices.leaving_since is not None
        self.leaving = record.draining or says_leaving
        self.record = record
        self.remove_at = None

    def in_slow_start(self, now: float) -> bool:
        """Return whether the target is still in slow start."""
        return now < self.slow_start_until

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected because too many recent requests failed."""
        return now < self.ejected_until

    def learn_rate_limit(self, told: Told, *, directly: bool) -> None:
        """Store what the target said of its rate limit, to this host ``directly`` or to another."""
        limit = None if self.notices is None else self.notices.rate_limit
        if limit is None:
            if told.per_s is None:
                return
            limit = self.get_notices().rate_limit = TargetRateLimit(told)
        if directly:
            limit.learn_directly(told)
        else:
            limit.learn(told)

    @property
    def rate_limit_per_s(self) -> float | None:
        """Return the rate limit in requests per second of all hosts, or None."""
        limit = None if self.notices is None else self.notices.rate_limit
        return None if limit is None else limit.per_s

    def note_leaving(self, now: float) -> None:
        """Store that the target says that it leaves."""
        self.get_notices().leaving_since = now
        self.leaving = True

    def adopt_notices(self, notices: TargetNotices) -> None:
        """Take over what the same start of the target said under an earlier registration."""
        self.notices = notices
        self.leaving = self.leaving or notices.leaving_since is not None

    def get_notices(self) -> TargetNotices:
        """Return what the target said of itself, to add to it."""
        if self.notices is None:
            self.notices = TargetNotices()
        return self.notices

    def update_load(self, load: LoadReport, now: float) -> None:
        """Store the load and the pace that the target reported, as far as they could be read."""
        if load.running is not None or load.waiting is not None:
            self._load = (load.running or 0) + (load.waiting or 0)
            self._load_updated_at = now
        if load.pace_percent is not None:
            if self._pace is None:
                self._pace = PaceAverage()
            self._pace.add(load.pace_percent, now)

    def pace_factor(self, now: float) -> float:
        """Return how long work takes here now, in units of its usual duration."""
        return 1.0 if self._pace is None else self._pace.factor(now)

    def load(self, now: float) -> int:
        """Return the number of requests at the target, by the hosts' counts or by its report."""
        local_count = self.in_flight + self.remote_in_flight
        if self._load is None or now - self._load_updated_at > LOAD_REPORT_LIFETIME_S:
            return local_count
        return max(local_count, self._load)

    def queue_position(self, load: int) -> int:
        """Return the queue position of one more request at the target, with ``load`` already there.

        It is 0 if a slot is free.
        """
        return max(0, load + 1 - self.record.slots)

    def record_object(self, object_key: str) -> None:
        """Record that the target completed a request for the object."""
        self._recent_objects[object_key] = None
        self._recent_objects.move_to_end(object_key)
        if len(self._recent_objects) > RECENT_OBJECTS_KEPT:
            self._recent_objects.popitem(last=False)

    def recently_handled(self, object_key: str | None) -> bool:
        """Return whether the target handled the object recently for this host."""
        return object_key in self._recent_objects

    def record_success(self) -> None:
        """Record a request that was answered successfully."""
        self.queue_limit.record_answer()
        self._outcomes.append(True)
        self._ejection_s = max(BASE_EJECTION_S, self._ejection_s * 0.9)

    def record_failure(self, now: float) -> bool:
        """Record a failed request; return whether it ejects the target."""
        self._outcomes.append(False)
        failures = self._outcomes.count(False)
        if failures < MIN_FAILURES_TO_EJECT or failures * 2 < len(self._outcomes):
            return False
        self._outcomes.clear()
        self.ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 2)
        return True
