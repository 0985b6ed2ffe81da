"""What a target says of itself in its answers, and what of that holds beyond the answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.header_values import MAX_LOGGED_CHARACTERS
from flamingoladder.header_values import header
from flamingoladder.header_values import number_from_zero
from flamingoladder.targets.rate_limit import RateLimitNotice

if TYPE_CHECKING:
    from flamingoladder.targets.pause import TargetPause
    from flamingoladder.targets.rate_limit import TargetRateLimit
    from flamingoladder.verdict import Answer

LEAVING = "1"


class LoadReport(msgspec.Struct, frozen=True):
    """Numbers of running and waiting requests and of slots, as reported by a target.

    ``pace_percent`` is how long work takes on its machine now, 100 being usual. A figure is None
    if the report lacks it. ``unreadable_figures`` counts those that could not be read, and
    ``unreadable`` is the start of such a report.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    pace_percent: float | None = None
    unreadable_figures: int = 0
    unreadable: str = ""


class PauseNotice(msgspec.Struct, frozen=True):
    """For how many seconds the target wants no request of this host.

    ``unreadable`` is the start of a value that is no number from 0 on; nothing follows from it.
    """

    seconds: float
    unreadable: str = ""

    @classmethod
    def from_answer(cls, answer: Answer, field: str) -> PauseNotice | None:
        """Return the pause that the answer names in ``field``, or None.

        Only an answer that turns the request away names one.
        """
        text = header(answer, field)
        if answer.status != HTTPStatus.SERVICE_UNAVAILABLE or text is None:
            return None
        seconds = number_from_zero(text)
        if seconds is None:
            return cls(0.0, unreadable=text[:MAX_LOGGED_CHARACTERS])
        return cls(seconds)


class TargetNotice(msgspec.Struct, frozen=True):
    """What a target says of itself in one answer that is certainly its own.

    ``load`` and ``rate_limit`` are None if the answer does not tell them. ``leaving`` is set if the
    target says that it takes no new work until its next start.
    """

    load: LoadReport | None = None
    rate_limit: RateLimitNotice | None = None
    pause: PauseNotice | None = None
    leaving: bool = False


class TargetNotices:
    """What one start of a target said that still holds. Times are monotonic seconds.

    ``leaving_since`` is None unless the target leaves; nothing ends that but its next start.
    """

    __slots__ = ("leaving_since", "pause", "rate_limit")

    def __init__(self) -> None:
        self.leaving_since: float | None = None
        self.pause: TargetPause | None = None
        self.rate_limit: TargetRateLimit | None = None

    def rests(self, now: float) -> bool:
        """Return whether the target wants nothing from this host now."""
        return self.pause is not None and self.pause.rests(now)

    def count_send(self, now: float) -> None:
        """Count a request that is being sent to the target."""
        if self.pause is not None:
            self.pause.count_send(now)
        if self.rate_limit is not None:
            self.rate_limit.sends.add(now)
