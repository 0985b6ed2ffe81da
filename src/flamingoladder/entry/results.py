"""What one send to a target came to."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from flamingoladder.targets.state import LoadReport
from flamingoladder.verdict import Answer


class SendStatus(StrEnum):
    """How a send ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISDIRECTED = "other_target"
    NO_CONNECTION = "no_connection"
    CONNECTION_LOST = "lost"
    TIMEOUT = "timeout"


NOT_RUN_STATUSES = frozenset({SendStatus.NOT_RUN, SendStatus.MISDIRECTED, SendStatus.NO_CONNECTION})


class SendResult(msgspec.Struct, frozen=True):
    """The end of a send; ``answer`` is the target's own, good or bad, if it may be passed on."""

    status: SendStatus
    detail: str
    answer: Answer | None = None
    load: LoadReport | None = None
    reused: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have run the request without a good answer."""
        return self.status not in NOT_RUN_STATUSES


class ProbeResult(msgspec.Struct, frozen=True):
    """What a health probe found; ``cold_s`` is how much longer the target is cold."""

    healthy: bool
    cold_s: float
