"""One request on its way, and what is to be said of it at its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error
from expression import Ok

from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.upstreams.attempt import AttemptFailure
    from flamingoladder.verdict import Outcome

SHED_RETRY_S = 1.0

REASON_BY_END = {
    AttemptOutcome.ANSWERED: Reason.ANSWER_TOO_LARGE,
    AttemptOutcome.UNREACHABLE: Reason.UPSTREAM_UNREACHABLE,
    AttemptOutcome.SHED: Reason.UPSTREAM_SHED,
    AttemptOutcome.LOST: Reason.UPSTREAM_LOST,
    AttemptOutcome.SILENT: Reason.UPSTREAM_SILENT,
    AttemptOutcome.CANCELLED: Reason.DEADLINE_PASSED,
}


class Dispatch:
    """One request on its way: the targets tried, and whether any of them may have run it."""

    __slots__ = ("attempts", "may_have_run", "request", "tried")

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.tried: list[str] = []
        self.attempts = 0
        self.may_have_run = False

    def failed(self, target: str, failure: AttemptFailure) -> None:
        """Take in a failed attempt."""
        if not failure.suspect:
            self.tried.append(target)
        self.may_have_run |= failure.may_have_run

    def refused(self, refusal: Refusal) -> Outcome:
        """Return the outcome of ending now with ``refusal``, true to all attempts so far."""
        if not self.may_have_run:
            return Error(refusal)
        return Error(msgspec.structs.replace(refusal, verdict=Verdict.MAY_HAVE_RUN))

    def given_up(self, failure: AttemptFailure) -> Outcome:
        """Return the outcome of ending after ``failure``."""
        if failure.answer is not None:
            return Ok(failure.answer)
        if failure.refusal is not None:
            return self.refused(failure.refusal)
        reason = REASON_BY_END[failure.end]
        retry_after_s = SHED_RETRY_S if failure.end is AttemptOutcome.SHED else None
        detail = f"{failure.detail} (attempt {self.attempts})"
        return self.refused(Refusal.not_run(reason, detail, retry_after_s))
