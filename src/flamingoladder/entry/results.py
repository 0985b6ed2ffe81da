"""Results of sending a request to a target, and of probing one."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from flamingoladder.targets.notices import TargetNotice
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Refusal


class SendStatus(StrEnum):
    """How an attempt to send a request ended.

    ``MISDIRECTED`` is a rejection by another target, which has the address now. ``REFUSED`` is this
    host's own decision, between the wait for a connection and the send.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISDIRECTED = "other_target"
    NO_CONNECTION = "no_connection"
    REFUSED = "refused"
    CONNECTION_LOST = "lost"
    TIMEOUT = "timeout"


NOT_RUN_STATUSES = frozenset(
    {
        SendStatus.NOT_RUN,
        SendStatus.MISDIRECTED,
        SendStatus.NO_CONNECTION,
        SendStatus.REFUSED,
    }
)


class SendResult(msgspec.Struct, frozen=True):
    """The result of one attempt.

    ``answer`` is the target's own answer, successful or not, if it may be passed on to the caller.
    ``reused`` is set if the connection had carried an earlier request. ``notice`` is what the
    target's own answer says of it, None if there was none. ``refusal`` says why this host refused
    the request before the send.
    """

    status: SendStatus
    detail: str
    answer: Answer | None = None
    reused: bool = False
    notice: TargetNotice | None = None
    refusal: Refusal | None = None

    @property
    def is_from_target(self) -> bool:
        """Return whether the target itself answered."""
        return self.answer is not None or self.notice is not None

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have run the request."""
        return self.status not in NOT_RUN_STATUSES


class ProbeResult(msgspec.Struct, frozen=True):
    """The result of a health probe; ``slow_start_s`` is the remaining slow start in seconds.

    ``notice`` is what the target's own answer says of it, None if there was none.
    """

    healthy: bool
    slow_start_s: float
    notice: TargetNotice | None = None

    @property
    def alive(self) -> bool:
        """Return whether the target itself answered, well or not."""
        return self.healthy or self.notice is not None
