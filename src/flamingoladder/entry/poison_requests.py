"""Detects poison requests, which crash each target that runs them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.timeline.recorder import Recorder

# Requests in flight at a failure domain that loses power look like crashes: with a limit of 2
# and each of them counted, two such losses caused refusals of a popular path for 120 s.
MAX_CRASHES = 3
CRASH_TTL_S = 30.0
CRASH_DEDUP_S = 1.0
MAX_FINGERPRINTS = 2_000
LOSS_TO_DOWN_S = 2.0


class PoisonRequestDetector:
    """Counts the crashes of targets that ran a request, by the request's fingerprint.

    A lost connection alone proves no crash: the target must also refuse connections or restart
    within ``LOSS_TO_DOWN_S``. Crashes within ``CRASH_DEDUP_S`` count once, because the loss of a
    failure domain takes down many targets with all their requests at the same moment. Times are
    monotonic seconds.
    """

    __slots__ = ("_broadcast", "_crashes_by_fingerprint", "_recorder", "_suspects_by_target")

    def __init__(self, broadcast: Callable[[CrashReport], None], recorder: Recorder) -> None:
        self._broadcast = broadcast
        self._recorder = recorder
        self._crashes_by_fingerprint: OrderedDict[str, list[float]] = OrderedDict()
        self._suspects_by_target: dict[str, list[tuple[float, str]]] = {}

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether requests with this fingerprint crashed too many targets."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return False
        if now - crashes[-1] >= CRASH_TTL_S:
            del self._crashes_by_fingerprint[fingerprint]
            return False
        return len(crashes) >= MAX_CRASHES

    def record_lost_connection(self, fingerprint: str, target: str, now: float) -> None:
        """Record that a connection was lost while the target had the request."""
        suspects = self._suspects_by_target.setdefault(target, [])
        suspects[:] = [entry for entry in suspects if now - entry[0] < LOSS_TO_DOWN_S]
        suspects.append((now, fingerprint))

    def record_target_down(self, target: str, now: float) -> None:
        """Record that the target refuses connections or restarted."""
        for at, fingerprint in self._suspects_by_target.pop(target, ()):
            if now - at < LOSS_TO_DOWN_S:
                report = CrashReport(fingerprint, target)
                self.count_crash(report, now)
                self._broadcast(report)

    def count_crash(self, report: CrashReport, now: float) -> None:
        """Count a crash that this host or another one detected."""
        crashes = self._crashes_by_fingerprint.setdefault(report.fingerprint, [])
        if crashes and now - crashes[-1] < CRASH_DEDUP_S:
            self._record("poison.end_ignored", report)
            return
        crashes.append(now)
        self._record("poison.end_counted", report)
        self._crashes_by_fingerprint.move_to_end(report.fingerprint)
        if len(self._crashes_by_fingerprint) > MAX_FINGERPRINTS:
            self._crashes_by_fingerprint.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Discard the crashes of a request that was answered."""
        crashes = self._crashes_by_fingerprint.pop(fingerprint, None)
        if crashes is not None:
            self._recorder.record("poison.cleared", fingerprint=fingerprint, ends=len(crashes))

    def _record(self, kind: str, report: CrashReport) -> None:
        self._recorder.record(
            kind,
            fingerprint=report.fingerprint,
            target=report.target,
            ends=len(self._crashes_by_fingerprint[report.fingerprint]),
        )
