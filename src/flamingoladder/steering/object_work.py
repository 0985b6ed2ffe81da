"""Measures the work that this host's requests for each object ask of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.steering.known_objects import ObjectKey

# A hundred hosts that share the demand for one object see each a few requests in this time.
WINDOW_S = 4.0
# A single request says nothing of the demand for its object.
MIN_REQUESTS = 2
MAX_OBJECTS = 512
# With so many requests, the time since the first one says how often an object is asked for.
REQUESTS_THAT_TELL = 8
MIN_SPAN_S = 0.5


class _Asked:
    """Requests for one object in a window, with their work in seconds."""

    __slots__ = ("first_at", "requests", "work_s")

    def __init__(self, first_at: float) -> None:
        self.first_at = first_at
        self.requests = 0
        self.work_s = 0.0


class ObjectWork:
    """Work of the present and the previous window by object, in seconds of runs.

    When a window has ``MAX_OBJECTS``, those that were requested least are dropped from it, so that
    many objects that are requested once displace no popular one.
    """

    __slots__ = ("_present", "_previous", "_started_at")

    def __init__(self) -> None:
        self._present: dict[ObjectKey, _Asked] = {}
        self._previous: dict[ObjectKey, _Asked] = {}
        self._started_at = 0.0

    def add(self, key: ObjectKey, seconds: float, now: float) -> None:
        """Count a request that takes ``seconds`` of a slot."""
        self._turn(now)
        if key not in self._present and len(self._present) >= MAX_OBJECTS:
            self._drop_least()
        asked = self._present.get(key)
        if asked is None:
            asked = self._present[key] = _Asked(now)
        asked.requests += 1
        asked.work_s += seconds

    def busiest(self, count: int, least: float, now: float) -> dict[ObjectKey, float]:
        """Return up to ``count`` objects that keep at least ``least`` slots busy, with these."""
        self._turn(now)
        busy: dict[ObjectKey, float] = {}
        for key in self._present.keys() | self._previous.keys():
            found = [of[key] for of in (self._previous, self._present) if key in of]
            requests = sum(asked.requests for asked in found)
            slots = sum(asked.work_s for asked in found) / self._span_s(found[0], requests, now)
            if requests >= MIN_REQUESTS and slots >= least:
                busy[key] = slots
        return dict(sorted(busy.items(), key=lambda item: (-item[1], item[0]))[:count])

    def _span_s(self, first: _Asked, requests: int, now: float) -> float:
        """Return the seconds in which the requests came; for a newly popular object it is short."""
        if requests < REQUESTS_THAT_TELL:
            return WINDOW_S + now - self._started_at
        return min(WINDOW_S + now - self._started_at, max(MIN_SPAN_S, now - first.first_at))

    def _turn(self, now: float) -> None:
        if now - self._started_at < WINDOW_S:
            return
        is_next = now - self._started_at < 2 * WINDOW_S
        self._previous = self._present if is_next else {}
        self._present = {}
        self._started_at = self._started_at + WINDOW_S if is_next else now

    def _drop_least(self) -> None:
        ranked = sorted(self._present.items(), key=lambda item: item[1].work_s, reverse=True)
        self._present = dict(ranked[: MAX_OBJECTS // 2])
