"""A log handler whose volume is bounded and which never waits for its reader."""

from __future__ import annotations

import os
from collections import deque
from time import monotonic
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 150.0
BURST_LINES = 600.0
MAX_WAITING_BYTES = 262_144
FORMAT = "{record.message}"


class BoundedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):  # type: ignore[misc]
    """Writes lines to a file descriptor; lines over the rate, or that find no room, are dropped.

    ``dropped`` counts them; the next line that is written is preceded by one that tells how many.
    """

    default_format_string = FORMAT

    def __init__(self, descriptor: int, level: int, clock: Callable[[], float] = monotonic) -> None:
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, FORMAT)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._units = BURST_LINES
        self._at = clock()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._untold = 0
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a line, or drop it."""
        now = self._clock()
        self._units = min(BURST_LINES, self._units + (now - self._at) * LINES_PER_S)
        self._at = now
        if self._units < 1 or self._waiting_bytes > MAX_WAITING_BYTES:
            self.dropped += 1
            self._untold += 1
            return
        self._units -= 1
        if self._untold:
            self._put(f"event=log.dropped lines={self._untold}")
            self._untold = 0
        self._put(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes without waiting."""
        while self._waiting:
            line = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting.appendleft(line[written:])
                return

    def _put(self, text: str) -> None:
        line = text.encode(errors="replace") + b"\n"
        self._waiting.append(line)
        self._waiting_bytes += len(line)
