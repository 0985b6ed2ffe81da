"""How long a line at a target a request may join, learned from time-outs and answers."""

from __future__ import annotations

from math import inf

CUT = 0.5
GROWTH = 0.3


class QueueLimit:
    """Halves when a request waited in line in vain, and grows with each good answer.

    What a run takes at a target varies by several times with what it has handled of late, so no
    figure of the past tells how long a line takes; whether lines of a length end in time does.
    """

    __slots__ = ("_limit",)

    def __init__(self) -> None:
        self._limit = inf

    def allows(self, queue_position: int) -> bool:
        """Return whether a request may be sent as the one at this place in line."""
        return queue_position <= self._limit

    def record_timeout(self, queue_position: int) -> None:
        """Note that the request at this place in line timed out."""
        self._limit = min(self._limit, queue_position) * CUT

    def record_answer(self) -> None:
        """Note that a request was answered well."""
        self._limit += GROWTH
