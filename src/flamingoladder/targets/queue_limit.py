"""Adaptive limit of the queue at a target, adjusted by time-outs and answers."""

from __future__ import annotations

from math import inf

DECREASE_FACTOR = 0.5
INCREASE_PER_ANSWER = 0.3


class QueueLimit:
    """Limit with additive increase per good answer and multiplicative decrease per time-out.

    The duration of a run varies by several times with the objects that the target handled
    recently, so past durations don't predict the wait in its queue; time-outs at a queue length do.
    """

    __slots__ = ("_limit",)

    def __init__(self) -> None:
        self._limit = inf

    def allows(self, queue_position: int) -> bool:
        """Return whether a request may be sent to wait at this position of the queue."""
        return queue_position <= self._limit

    def record_timeout(self, queue_position: int) -> None:
        """Lower the limit, as the request at this position of the queue timed out."""
        self._limit = min(self._limit, queue_position) * DECREASE_FACTOR

    def record_answer(self) -> None:
        """Raise the limit, as a request was answered successfully."""
        self._limit += INCREASE_PER_ANSWER
