"""Records events: one log line each, kept in a bounded buffer, offered as an observable."""

from __future__ import annotations

import re
from collections import deque
from time import time_ns
from typing import TYPE_CHECKING

import logbook
from reactivex import Subject

from flamingoladder.timeline.events import Event

if TYPE_CHECKING:
    from reactivex import Observable

KEPT_EVENTS = 10_000
NANOSECONDS_PER_MICROSECOND = 1_000
# Printable ASCII without space, quote and equals sign.
PLAIN_VALUE = re.compile(r"[!#-<>-~]+")


class HybridClock:
    """A clock that follows the wall clock and never runs behind a value that it has seen."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = 0

    def tick(self) -> int:
        """Return a value above all earlier ones, in microseconds since the epoch."""
        self._last = max(self._last + 1, time_ns() // NANOSECONDS_PER_MICROSECOND)
        return self._last

    def observe(self, value: int) -> None:
        """Take in a value from another host."""
        self._last = max(self._last, value)


class Recorder:
    """The time line of one process.

    Event kinds are dotted lower-case names such as ``request.dispatched``; field names that other
    tools filter by are ``request``, ``workspace``, ``key_id``, ``change`` and ``target``. A field
    never holds a caller's key.
    """

    __slots__ = ("_events", "_logger", "_subject", "clock", "host", "incarnation")

    def __init__(
        self,
        host: str,
        incarnation: str,
        clock: HybridClock | None = None,
        kept_events: int = KEPT_EVENTS,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.clock = clock or HybridClock()
        self._events: deque[Event] = deque(maxlen=kept_events)
        self._subject: Subject[Event] = Subject()
        self._logger = logbook.Logger("timeline")

    @property
    def events(self) -> Observable[Event]:
        """Return the stream of events as they are recorded."""
        return self._subject

    def record(self, kind: str, **fields: object) -> None:
        """Record an event of ``kind`` with its ``fields``."""
        texts = {name: str(value) for name, value in fields.items()}
        event = Event(self.clock.tick(), self.host, self.incarnation, kind, texts)
        self._events.append(event)
        self._logger.info(format_event(event))
        self._subject.on_next(event)

    def since(self, clock: int) -> tuple[Event, ...]:
        """Return the kept events whose clock is above ``clock``, oldest first."""
        return tuple(event for event in self._events if event.clock > clock)


def format_event(event: Event) -> str:
    """Return the event as one line of key=value pairs."""
    pairs = [
        f"clock={event.clock}",
        f"host={event.host}",
        f"incarnation={event.incarnation}",
        f"event={event.kind}",
    ]
    pairs += [f"{name}={_quoted(value)}" for name, value in event.fields.items()]
    return " ".join(pairs)


def _quoted(value: str) -> str:
    if PLAIN_VALUE.fullmatch(value):
        return value
    if value and value.isprintable() and not set(value) & set(' "='):
        return value
    escaped = value.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'
