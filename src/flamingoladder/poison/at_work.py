"""The requests of this host that are at work at targets, or lately were."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.poison.fingerprints import Fingerprints

# A lost connection alone proves no crash: the target must be found gone within this time.
LOSS_TO_END_S = 2.0
# A target may still work on a request whose caller or host no longer waits.
ABANDONED_KEPT_S = 6.0


class TargetStart(msgspec.Struct, frozen=True):
    """One start of a target; ``incarnation`` is None where starts have no name."""

    target: str
    incarnation: int | None
    failure_domain: str


class Work:
    """A request at a target; times are monotonic seconds, None for what has not happened.

    ``is_checked`` is set once its target was probed for its silence.
    """

    __slots__ = ("abandoned_at", "began", "fingerprints", "is_checked", "lost_at", "start")

    def __init__(self, fingerprints: Fingerprints, start: TargetStart, began: float) -> None:
        self.fingerprints = fingerprints
        self.start = start
        self.began = began
        self.lost_at: float | None = None
        self.abandoned_at: float | None = None
        self.is_checked = False

    def may_explain_end(self, now: float, *, is_gone: bool) -> bool:
        """Return whether the request may have ended its target, if that has ended now.

        Without an answer, the request of an open connection only does so if this start ``is_gone``
        for certain.
        """
        if self.lost_at is not None:
            return now - self.lost_at < LOSS_TO_END_S
        return is_gone


class RequestsAtWork:
    """Requests without an answer, by the target that they were sent to."""

    __slots__ = ("_heard_at_by_target", "_works_by_target")

    def __init__(self) -> None:
        self._works_by_target: dict[str, list[Work]] = {}
        self._heard_at_by_target: dict[str, float] = {}

    def add(self, work: Work) -> None:
        """Add a request that is being sent."""
        self._works_by_target.setdefault(work.start.target, []).append(work)

    def remove(self, work: Work) -> None:
        """Remove a request that the target answered, or that never came there."""
        works = self._works_by_target.get(work.start.target, [])
        if work in works:
            works.remove(work)
        if not works:
            self._works_by_target.pop(work.start.target, None)

    def note_heard(self, target: str, now: float) -> None:
        """Note that the target answered something."""
        self._heard_at_by_target[target] = now

    def heard_since(self, target: str, since: float) -> bool:
        """Return whether the target answered anything after ``since``."""
        return self._heard_at_by_target.get(target, since) > since

    def heard_elsewhere_since(self, target: str, since: float) -> bool:
        """Return whether another target answered anything after ``since``."""
        heard = self._heard_at_by_target.items()
        return any(name != target and at > since for name, at in heard)

    def oldest_silent(self, target: str) -> Work | None:
        """Return the oldest request since which nothing came from the target, if there is one."""
        works = self._works_by_target.get(target, ())
        silent = (work for work in works if not self.heard_since(target, work.began))
        return next((work for work in silent if work.lost_at is None), None)

    def take_suspects(self, start: TargetStart, now: float, *, is_gone: bool) -> list[Work]:
        """Return and remove the requests that may have ended this start of the target."""
        works = self._works_by_target.get(start.target, ())
        suspects = [
            work
            for work in works
            if work.start == start and work.may_explain_end(now, is_gone=is_gone)
        ]
        for work in suspects:
            self.remove(work)
        return suspects

    def is_at_work(self, fingerprints: Fingerprints) -> bool:
        """Return whether a request with one of the fingerprints waits for its answer."""
        return any(
            work.lost_at is None and not set(work.fingerprints).isdisjoint(fingerprints)
            for works in self._works_by_target.values()
            for work in works
        )

    def unanswered(self, now: float, after_s: float) -> Iterable[Work]:
        """Return the oldest request of each target that is silent since, for ``after_s`` seconds.

        A request that was abandoned counts at once.
        """
        for target in self._works_by_target:
            oldest = self.oldest_silent(target)
            if oldest is None:
                continue
            if oldest.abandoned_at is not None or now - oldest.began >= after_s:
                yield oldest

    def expire(self, now: float) -> None:
        """Forget the requests that can't explain an end any more."""
        works = [work for found in self._works_by_target.values() for work in found]
        for work in works:
            lost = _is_over(work.lost_at, LOSS_TO_END_S, now)
            if lost or _is_over(work.abandoned_at, ABANDONED_KEPT_S, now):
                self.remove(work)

    def forget_target(self, target: str) -> None:
        """Forget when a target that is gone was heard."""
        self._heard_at_by_target.pop(target, None)


def _is_over(since: float | None, kept_s: float, now: float) -> bool:
    return since is not None and now - since >= kept_s
