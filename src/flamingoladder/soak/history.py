"""What happened during a soak: requests as their callers saw them, faults and changes.

All times are in seconds of the soak's event loop.
"""

from __future__ import annotations

from enum import StrEnum
from math import inf

import msgspec


class End(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not connected"
    CUT = "cut"
    SILENT = "silent"


class Sent(msgspec.Struct, frozen=True, kw_only=True):
    """A request to ``host``.

    ``verdict`` is the one that a refusal names. ``is_own`` holds if the answer is the target's
    whole answer to this request.
    """

    request_id: str
    host: str
    workspace: str
    key: str
    is_booking: bool
    sent_at: float
    ended_at: float
    end: End
    status: int = 0
    verdict: str = ""
    is_own: bool = False
    reused: bool = False


class Span(msgspec.Struct, frozen=True):
    """A time from ``since`` to ``until``, endless while it lasts."""

    since: float
    until: float = inf

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether some moment is in both spans."""
        return self.since <= until and self.until >= since


class RateLimitSpan(msgspec.Struct, frozen=True):
    """A time in which a target names a limit in requests per second."""

    target_id: str
    per_s: float
    span: Span


class History:
    """Everything that the checks need; ``lines`` is the time line.

    Faults of the store, which all hosts share, are kept under the name ``STORE``.
    ``crashes_by_path`` holds when targets ended under a request that crashes them.
    """

    STORE = "store"
    __slots__ = (
        "crashes_by_path",
        "faults_by_name",
        "granted_at_by_key",
        "left_at_by_target",
        "limits",
        "lines",
        "sent",
        "start",
        "withdrawn_at_by_key",
    )

    def __init__(self, start: float) -> None:
        self.start = start
        self.sent: list[Sent] = []
        self.lines: list[str] = []
        self.faults_by_name: dict[str, list[Span]] = {}
        self.granted_at_by_key: dict[str, float] = {}
        self.withdrawn_at_by_key: dict[str, float] = {}
        self.left_at_by_target: dict[str, float] = {}
        self.limits: list[RateLimitSpan] = []
        self.crashes_by_path: dict[str, list[float]] = {}

    def note(self, now: float, text: str) -> None:
        """Add a line to the time line."""
        self.lines.append(f"{now - self.start:8.3f} s  {text}")

    def begin_fault(self, name: str, now: float) -> None:
        """Note that a host or the store is disturbed from now on."""
        self.faults_by_name.setdefault(name, []).append(Span(now))

    def end_fault(self, name: str, now: float) -> None:
        """Note that the newest fault of a host or the store is over."""
        spans = self.faults_by_name[name]
        spans[-1] = Span(spans[-1].since, now)

    def was_disturbed(self, host: str, since: float, until: float) -> bool:
        """Return whether the host was disturbed by a fault of its own in this time."""
        spans = self.faults_by_name.get(host, [])
        return any(span.overlaps(since, until) for span in spans)

    def in_touch(self, host: str, since: float, until: float) -> bool:
        """Return whether neither the host nor the store was disturbed in this time."""
        return not any(self.was_disturbed(name, since, until) for name in (host, self.STORE))
