"""Stops requests that take down each target that runs them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_CRASHES = 3
LIFETIME_S = 30.0
SAME_CRASH_S = 1.0
MAX_REQUESTS = 2_000
SUSPICION_S = 2.0


class CrashGuard:
    """Counts the crashes of targets that ran a request, by the request's fingerprint.

    A lost answer alone proves no crash: the target must then refuse connections or start anew.
    Crashes within ``SAME_CRASH_S`` count once, as a failure domain takes down many targets, and
    many requests with them, at one moment. Times are monotonic seconds.
    """

    __slots__ = ("_crashes_by_fingerprint", "_suspects_by_target", "_tell")

    def __init__(self, tell: Callable[[CrashReport], None]) -> None:
        self._tell = tell
        self._crashes_by_fingerprint: OrderedDict[str, list[float]] = OrderedDict()
        self._suspects_by_target: dict[str, list[tuple[float, str]]] = {}

    def refuses(self, fingerprint: str, now: float) -> bool:
        """Return whether requests like this took down too many targets."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return False
        if now - crashes[-1] >= LIFETIME_S:
            del self._crashes_by_fingerprint[fingerprint]
            return False
        return len(crashes) >= MAX_CRASHES

    def saw_loss(self, fingerprint: str, target: str, now: float) -> None:
        """Note that a connection was lost while the target had the request."""
        suspects = self._suspects_by_target.setdefault(target, [])
        suspects[:] = [entry for entry in suspects if now - entry[0] < SUSPICION_S]
        suspects.append((now, fingerprint))

    def saw_down(self, target: str, now: float) -> None:
        """Note that the target refuses connections or was started anew."""
        for at, fingerprint in self._suspects_by_target.pop(target, ()):
            if now - at < SUSPICION_S:
                report = CrashReport(fingerprint, target)
                self.count(report, now)
                self._tell(report)

    def count(self, report: CrashReport, now: float) -> None:
        """Count a crash seen here or by another host."""
        crashes = self._crashes_by_fingerprint.setdefault(report.fingerprint, [])
        if crashes and now - crashes[-1] < SAME_CRASH_S:
            return
        crashes.append(now)
        self._crashes_by_fingerprint.move_to_end(report.fingerprint)
        if len(self._crashes_by_fingerprint) > MAX_REQUESTS:
            self._crashes_by_fingerprint.popitem(last=False)

    def saw_answer(self, fingerprint: str) -> None:
        """Forget the crashes of a request that was answered."""
        self._crashes_by_fingerprint.pop(fingerprint, None)
