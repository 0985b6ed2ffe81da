"""Which ends of targets a request is suspected of, and what follows from them."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.poison.fingerprints import Fingerprints

# Ends of targets in one failure domain within this time of the first may have one cause. A target
# that goes silent is found 1.5 s after the first request that it doesn't answer.
SAME_CAUSE_S = 2.0
# Ends this close together belong to one loss of a failure domain.
SAME_LOSS_S = 1.0
# So many other targets that end there at the same time show that the failure domain was lost.
OTHER_ENDS_OF_LOST_DOMAIN = 2
MIN_QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 600.0
RECORD_TTL_S = 3_600.0
MAX_ENDS = 500
MAX_FINGERPRINTS_PER_END = 64
MAX_ANSWERS = 2_000
# The ends that count against a request are kept in the store from this number of causes on.
MIN_STORED_CAUSES = 2
# Each end is told again for this long, so that no single lost report matters.
REPEATED_S = 5.0
# Until then a request that is being tried by one host is not sent by another.
TRIAL_S = 5.0


class TargetEnd(msgspec.Struct, frozen=True):
    """The end of one start of a target, with the fingerprints of the requests at work there.

    ``at`` and ``began``, when the first of them was sent, are monotonic seconds. ``incarnation`` is
    None where starts of a target have no name.
    """

    target: str
    incarnation: int | None
    failure_domain: str
    at: float
    began: float
    fingerprints: frozenset[int]


class Status(Enum):
    """What a host may do with a request: send, send one at a time, or reject it."""

    FREE = "free"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"


class Standing(msgspec.Struct, frozen=True):
    """The status of a request, the causes that count against it, and the rest of a quarantine."""

    status: Status
    causes: int = 0
    wait_s: float = 0.0


FREE = Standing(Status.FREE)


class CrashHistory:
    """All known ends of targets, and the answers that clear requests of them.

    Both are sets that only grow until they expire, so hosts may tell each other the same things in
    any order and more than once. A request counts as the suspect of an end unless an identical one
    was answered by a run that began after it. Times are monotonic seconds.
    """

    __slots__ = ("_answer_began", "_ends_by_key", "_keys_by_fingerprint", "_next_key")

    def __init__(self) -> None:
        self._ends_by_key: OrderedDict[int, TargetEnd] = OrderedDict()
        self._keys_by_fingerprint: dict[int, list[int]] = {}
        self._answer_began: OrderedDict[int, float] = OrderedDict()
        self._next_key = 0

    @property
    def ends(self) -> Iterable[TargetEnd]:
        """Return all ends, oldest first."""
        return self._ends_by_key.values()

    @property
    def answers(self) -> Iterable[tuple[int, float]]:
        """Return the fingerprints that were answered after an end, and when the run began."""
        return self._answer_began.items()

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether any end is known under which a request of this kind was at work."""
        return fingerprint in self._keys_by_fingerprint

    def is_accused(self, fingerprint: int) -> bool:
        """Return whether ``MIN_STORED_CAUSES`` or more count against a request of this kind."""
        if len(self._keys_by_fingerprint.get(fingerprint, ())) < MIN_STORED_CAUSES:
            return False
        return len(self._cause_times(fingerprint)) >= MIN_STORED_CAUSES

    def evidence(self, fingerprints: frozenset[int]) -> list[TargetEnd]:
        """Return the ends that count against any of the fingerprints, with these alone."""
        ends_by_key = {
            key: end
            for fingerprint in fingerprints
            for key, end in self._counted_ends(fingerprint).items()
        }
        return [
            msgspec.structs.replace(end, fingerprints=end.fingerprints & fingerprints)
            for end in sorted(ends_by_key.values(), key=_time_of)
        ]

    def ends_under(self, fingerprints: Iterable[int]) -> list[TargetEnd]:
        """Return the ends under which a request with one of the fingerprints was at work."""
        keys = {key for of in fingerprints for key in self._keys_by_fingerprint.get(of, ())}
        return [self._ends_by_key[key] for key in keys]

    def add(self, end: TargetEnd) -> bool:
        """Add an end, or what is new of a known one; return whether anything is."""
        for key, known in reversed(self._ends_by_key.items()):
            if _is_same(known, end):
                return self._extend(key, known, end)
        key = self._next_key
        self._next_key += 1
        self._ends_by_key[key] = end
        self._index(key, end.fingerprints)
        if len(self._ends_by_key) > MAX_ENDS:
            self._drop(next(iter(self._ends_by_key)))
        return True

    def note_answer(self, fingerprint: int, began: float) -> bool:
        """Note an answer by a run that began then; return whether it clears an end."""
        if not self.is_suspect(fingerprint):
            return False
        previous = self._answer_began.get(fingerprint)
        if previous is not None and began <= previous:
            return False
        clears = any(end.at < began for end in self._suspected_ends(fingerprint).values())
        self._answer_began[fingerprint] = began
        self._answer_began.move_to_end(fingerprint)
        if len(self._answer_began) > MAX_ANSWERS:
            self._answer_began.popitem(last=False)
        return clears

    def standing(self, fingerprints: Fingerprints, limit: int, now: float) -> Standing:
        """Return the standing of a request by its fingerprints, the narrowest one last.

        With ``limit`` causes for any of them it is condemned until its quarantine ends, which
        doubles with each further cause. It is a suspect after that, or with one cause less, by the
        narrowest alone, as the others are those of harmless requests too.
        """
        if not self._ends_by_key:
            return FREE
        found = FREE
        for fingerprint in fingerprints:
            found = FREE
            if fingerprint in self._keys_by_fingerprint:
                found = self._standing_of(fingerprint, limit, now)
            if found.status is Status.CONDEMNED:
                return found
        return found

    def pressing_ends(self, now: float) -> list[TargetEnd]:
        """Return the ends that are new, or count against a request with two causes or more."""
        suspects = set(filter(self.is_accused, self._keys_by_fingerprint))
        return [
            end
            for end in self._ends_by_key.values()
            if now - end.at < REPEATED_S or not suspects.isdisjoint(end.fingerprints)
        ]

    def expire(self, now: float) -> None:
        """Forget the ends that are too old."""
        for key, end in list(self._ends_by_key.items()):
            if now - end.at >= RECORD_TTL_S:
                self._drop(key)

    def _standing_of(self, fingerprint: int, limit: int, now: float) -> Standing:
        causes = self._cause_times(fingerprint)
        if len(causes) < limit:
            status = Status.SUSPECT if len(causes) >= max(1, limit - 1) else Status.FREE
            return Standing(status, len(causes))
        wait_s = causes[-1] + _quarantine_s(len(causes) - limit) - now
        if wait_s <= 0:
            return Standing(Status.SUSPECT, len(causes))
        return Standing(Status.CONDEMNED, len(causes), wait_s)

    def _cause_times(self, fingerprint: int) -> list[float]:
        """Return when each cause that counts against the request last struck, in order."""
        causes_by_domain: dict[str, _Cause] = {}
        times: list[float] = []
        for end in sorted(self._counted_ends(fingerprint).values(), key=_time_of):
            cause = causes_by_domain.get(end.failure_domain)
            if cause is not None and cause.takes(end):
                cause.add(end)
                continue
            causes_by_domain[end.failure_domain] = _Cause(end)
            times.append(end.at)
        return times

    def _counted_ends(self, fingerprint: int) -> dict[int, TargetEnd]:
        """Return the ends by key that are not explained by the loss of a failure domain."""
        suspected = self._suspected_ends(fingerprint)
        return {
            key: end for key, end in suspected.items() if not self._lost_domain(end, fingerprint)
        }

    def _suspected_ends(self, fingerprint: int) -> dict[int, TargetEnd]:
        cleared_before = self._answer_began.get(fingerprint)
        keys = self._keys_by_fingerprint.get(fingerprint, ())
        return {
            key: self._ends_by_key[key]
            for key in keys
            if cleared_before is None or self._ends_by_key[key].at >= cleared_before
        }

    def _lost_domain(self, end: TargetEnd, fingerprint: int) -> bool:
        others = sum(
            other.failure_domain == end.failure_domain
            and abs(other.at - end.at) <= SAME_LOSS_S
            and fingerprint not in other.fingerprints
            for other in self._ends_by_key.values()
        )
        return others >= OTHER_ENDS_OF_LOST_DOMAIN

    def _extend(self, key: int, known: TargetEnd, end: TargetEnd) -> bool:
        added = end.fingerprints - known.fingerprints
        self._ends_by_key[key] = msgspec.structs.replace(
            known,
            at=min(known.at, end.at),
            began=min(known.began, end.began),
            fingerprints=known.fingerprints | added,
        )
        self._index(key, added)
        return bool(added)

    def _index(self, key: int, fingerprints: Iterable[int]) -> None:
        for fingerprint in fingerprints:
            self._keys_by_fingerprint.setdefault(fingerprint, []).append(key)

    def _drop(self, key: int) -> None:
        for fingerprint in self._ends_by_key.pop(key).fingerprints:
            keys = self._keys_by_fingerprint[fingerprint]
            keys.remove(key)
            if not keys:
                del self._keys_by_fingerprint[fingerprint]
                self._answer_began.pop(fingerprint, None)


class _Cause:
    """Ends of different targets of one failure domain at one moment.

    The moment is that of the first end and doesn't move on with further ones: a request that is
    repeated at once ends a target each fraction of a second, and would else be one cause for good.
    """

    __slots__ = ("_first_at", "_targets")

    def __init__(self, first: TargetEnd) -> None:
        self._targets = {first.target}
        self._first_at = first.at

    def takes(self, end: TargetEnd) -> bool:
        """Return whether the end has the same cause.

        A target that ended again was back between. A target that got its first request only after
        the first end outlived it, so that it ended by something else.
        """
        if end.target in self._targets or end.began > self._first_at:
            return False
        return end.at - self._first_at <= SAME_CAUSE_S

    def add(self, end: TargetEnd) -> None:
        """Add an end that this cause takes."""
        self._targets.add(end.target)


def _is_same(known: TargetEnd, end: TargetEnd) -> bool:
    """Return whether both are one end; a request sent after the known end met a later start."""
    if known.target != end.target or known.incarnation != end.incarnation:
        return False
    if known.incarnation is not None:
        return True
    first, second = (known, end) if known.at <= end.at else (end, known)
    return second.began <= first.at


def _quarantine_s(further_causes: int) -> float:
    return min(MAX_QUARANTINE_S, MIN_QUARANTINE_S * 2.0 ** min(further_causes, 10))


def _time_of(end: TargetEnd) -> float:
    return end.at
