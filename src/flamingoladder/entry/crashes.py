"""Stops requests that take down each target that runs them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_CRASHES = 2
LIFETIME_S = 120.0
MAX_REQUESTS = 2_000
SUSPICION_S = 2.0


class CrashGuard:
    """Counts the targets that went down while they ran a request, by its fingerprint.

    A lost answer alone proves no crash: the target must then refuse connections or start anew.
    """

    __slots__ = ("_at", "_suspects_by_target", "_targets_by_fingerprint", "_tell")

    def __init__(self, tell: Callable[[CrashReport], None]) -> None:
        self._tell = tell
        self._targets_by_fingerprint: OrderedDict[str, set[str]] = OrderedDict()
        self._at: dict[str, float] = {}
        self._suspects_by_target: dict[str, list[tuple[float, str]]] = {}

    def refuses(self, fingerprint: str, now: float) -> bool:
        """Return whether requests like this took down too many targets."""
        targets = self._targets_by_fingerprint.get(fingerprint)
        if targets is None:
            return False
        if now - self._at[fingerprint] > LIFETIME_S:
            self._forget(fingerprint)
            return False
        return len(targets) >= MAX_CRASHES

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
        targets = self._targets_by_fingerprint.setdefault(report.fingerprint, set())
        targets.add(f"{report.target}@{int(now)}")
        self._at[report.fingerprint] = now
        self._targets_by_fingerprint.move_to_end(report.fingerprint)
        if len(self._targets_by_fingerprint) > MAX_REQUESTS:
            self._forget(next(iter(self._targets_by_fingerprint)))

    def saw_answer(self, fingerprint: str) -> None:
        """Forget the crashes of a request that was answered."""
        if fingerprint in self._targets_by_fingerprint:
            self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        del self._targets_by_fingerprint[fingerprint]
        del self._at[fingerprint]
