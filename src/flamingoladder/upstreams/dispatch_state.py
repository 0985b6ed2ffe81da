"""The state of one request across its attempts, and its final outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error
from expression import Ok

from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.upstreams.poison_watch import fingerprints_of_request
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.upstreams.attempt import AttemptFailure
    from flamingoladder.verdict import Outcome

SHED_RETRY_AFTER_S = 1.0

REASON_BY_OUTCOME = {
    AttemptOutcome.ANSWERED: Reason.ANSWER_TOO_LARGE,
    AttemptOutcome.INVALID: Reason.UPSTREAM_LOST,
    AttemptOutcome.UNREACHABLE: Reason.UPSTREAM_UNREACHABLE,
    AttemptOutcome.SHED: Reason.UPSTREAM_SHED,
    AttemptOutcome.LOST: Reason.UPSTREAM_LOST,
    AttemptOutcome.SILENT: Reason.UPSTREAM_SILENT,
    AttemptOutcome.CANCELLED: Reason.DEADLINE_PASSED,
}


class DispatchState:
    """The targets tried for one request, and whether any of them may have run it."""

    __slots__ = ("attempts", "fingerprints", "may_have_run", "request", "tried")

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.fingerprints = fingerprints_of_request(request)
        self.tried: list[str] = []
        self.attempts = 0
        self.may_have_run = False

    def record_failure(self, target: str, failure: AttemptFailure) -> None:
        """Record a failed attempt."""
        if not failure.stale_connection:
            self.tried.append(target)
        self.may_have_run |= failure.may_have_run

    def refusal_outcome(self, refusal: Refusal) -> Outcome:
        """Return ``refusal``, with verdict ``MAY_HAVE_RUN`` if any attempt may have run."""
        if not self.may_have_run:
            return Error(refusal)
        return Error(msgspec.structs.replace(refusal, verdict=Verdict.MAY_HAVE_RUN))

    def failure_outcome(self, failure: AttemptFailure) -> Outcome:
        """Return the outcome of a request whose last attempt ended in ``failure``."""
        if failure.answer is not None:
            return Ok(failure.answer)
        if failure.refusal is not None:
            return self.refusal_outcome(failure.refusal)
        reason = REASON_BY_OUTCOME[failure.outcome]
        retry_after_s = SHED_RETRY_AFTER_S if failure.outcome is AttemptOutcome.SHED else None
        detail = f"{failure.detail} (attempt {self.attempts})"
        return self.refusal_outcome(Refusal.not_run(reason, detail, retry_after_s))
