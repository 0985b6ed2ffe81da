"""Exit codes of the commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What an exit status means; only ``OUTCOME_UNKNOWN`` may have changed something."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    PROMISE_BROKEN = 6
