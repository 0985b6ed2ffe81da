"""What the budget refused and closed, as counters and log lines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.timeline.recorder import Recorder

LINE_INTERVAL_S = 1.0


class MemoryEvents:
    """Counts by reason, with at most one line a second for each reason.

    ``count`` takes each event's kind and reason.
    """

    __slots__ = ("_count", "_left_out_by_reason", "_line_at_by_reason", "_recorder")

    def __init__(self, recorder: Recorder, count: Callable[[str, str], None]) -> None:
        self._recorder = recorder
        self._count = count
        self._line_at_by_reason: dict[str, float] = {}
        self._left_out_by_reason: dict[str, int] = {}

    def record_refused(self, reason: str, client: str, size: int) -> None:
        """Record a refused body."""
        self._record("refused", reason, client, size)

    def record_closed(self, reason: str, client: str, size: int) -> None:
        """Record a closed connection."""
        self._record("closed", reason, client, size)

    def _record(self, kind: str, reason: str, client: str, size: int) -> None:
        self._count(kind, reason)
        now = asyncio.get_running_loop().time()
        if now - self._line_at_by_reason.get(reason, now - LINE_INTERVAL_S) < LINE_INTERVAL_S:
            self._left_out_by_reason[reason] = self._left_out_by_reason.get(reason, 0) + 1
            return
        self._line_at_by_reason[reason] = now
        left_out = self._left_out_by_reason.pop(reason, 0)
        self._recorder.record(
            f"memory.{kind}", client=client, bytes=size, reason=reason, left_out=left_out
        )
