"""The outcome of one attempt to send a request to a target."""

from __future__ import annotations

import msgspec

from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Refusal


class AttemptFailure(msgspec.Struct, frozen=True):
    """An attempt that returned no complete answer.

    ``may_have_run`` is False only if no byte of the request can have been sent, or if the target
    reported that it shed the request before running it. ``stale_connection`` is True if a reused
    connection was lost: only the connection may be at fault, so the target may be tried again.
    ``answer`` is the target's own answer, returned to the caller if no attempt follows.
    ``refusal`` is the result of the last permission check before the request was written.
    """

    outcome: AttemptOutcome
    may_have_run: bool
    detail: str
    stale_connection: bool = False
    answer: Answer | None = None
    refusal: Refusal | None = None
