"""One attempt to have a target run a request."""

from __future__ import annotations

import msgspec

from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Refusal


class AttemptFailure(msgspec.Struct, frozen=True):
    """An attempt without a whole answer.

    ``may_have_run`` is False only if no byte of the request can have left, or if the target itself
    says that it shed the request before running it. ``suspect`` is True if a kept connection
    was lost: the fault may be the connection's alone, so the target may be tried again.
    ``answer`` is the target's own answer, to be passed on if there is no better one. ``refusal`` is
    that of the last check before the write.
    """

    end: AttemptOutcome
    may_have_run: bool
    detail: str
    suspect: bool = False
    answer: Answer | None = None
    refusal: Refusal | None = None
