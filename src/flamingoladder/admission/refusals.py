"""What callers were told when they were refused, to know their repeats again."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

import msgspec

from flamingoladder.hashing import HASH_RANGE
from flamingoladder.hashing import stable_hash

MAX_REFUSALS = 4_096
KEPT_S = 4.0
# A caller's clock and the network may make a repeat seem early by so much.
EARLY_TOLERANCE_S = 0.02
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 10.0
# Preferred repeats as a fraction of the sent requests. A storm may take 5% of what first attempts
# get, and some of that goes to repeats that find a free slot.
PREFERRED_FRACTION = 0.03
MAX_PREFERRED = 5.0


class Repeat(Enum):
    """How a request relates to an earlier refusal.

    ``DUE`` is the first repeat, at the time that the caller was told; ``OTHER`` comes earlier, or
    after a refusal of a repeat.
    """

    FIRST_ATTEMPT = 0
    DUE = 1
    OTHER = 2


class _Refused(msgspec.Struct, frozen=True):
    due_at: float
    times: int


class RefusalRecord:
    """The latest refusals by fingerprint; bounded in number and age.

    Requests that are alike in all that a caller sends, such as two look-ups of one object, have the
    same fingerprint and pass for repeats.
    """

    __slots__ = ("_refused_by_fingerprint",)

    def __init__(self) -> None:
        self._refused_by_fingerprint: OrderedDict[int, _Refused] = OrderedDict()

    def __len__(self) -> int:
        return len(self._refused_by_fingerprint)

    def add(self, fingerprint: int, repeat: Repeat, retry_after_s: float, now: float) -> None:
        """Record a refusal of a request that was, or was not, itself a repeat."""
        refused = self._refused_by_fingerprint
        times = 1 if repeat is Repeat.FIRST_ATTEMPT else 2
        refused[fingerprint] = _Refused(now + retry_after_s, times)
        refused.move_to_end(fingerprint)
        while len(refused) > MAX_REFUSALS or self._is_old(next(iter(refused.values())), now):
            refused.popitem(last=False)

    def take(self, fingerprint: int, now: float) -> Repeat:
        """Return what kind of repeat a request is, and forget the refusal if it came when due."""
        refused = self._refused_by_fingerprint.get(fingerprint)
        if refused is None or self._is_old(refused, now):
            return Repeat.FIRST_ATTEMPT
        if now < refused.due_at - EARLY_TOLERANCE_S:
            return Repeat.OTHER
        del self._refused_by_fingerprint[fingerprint]
        return Repeat.DUE if refused.times == 1 else Repeat.OTHER

    def _is_old(self, refused: _Refused, now: float) -> bool:
        return now > refused.due_at + KEPT_S


class RepeatBudget:
    """Limits preferred repeats to a fraction of the sent requests.

    Load: a retry storm, in which repeats would otherwise take all that first attempts get.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAX_PREFERRED

    def deposit(self) -> None:
        """Count a sent request."""
        self._tokens = min(MAX_PREFERRED, self._tokens + PREFERRED_FRACTION)

    def take(self) -> bool:
        """Take the right of one repeat to be preferred; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def spread_retry_after_s(wait_s: float, request_id: str, fingerprint: int) -> float:
    """Return when a refused caller is to come back, from ``wait_s`` to twice that.

    It is spread by the request's id, so that callers refused together do not return together.
    """
    shortest_s = min(max(MIN_RETRY_AFTER_S, wait_s), MAX_RETRY_AFTER_S)
    return shortest_s * (1.0 + stable_hash(request_id, f"{fingerprint:x}") / HASH_RANGE)
