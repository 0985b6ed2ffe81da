"""Holds back requests that crash the daemon's own upstream targets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.poison.at_work import TargetStart
from flamingoladder.poison.fingerprints import fingerprints_of
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.poison.at_work import Work
    from flamingoladder.poison.detector import PoisonDetector
    from flamingoladder.poison.fingerprints import Fingerprints
    from flamingoladder.upstreams.attempt import AttemptFailure
    from flamingoladder.verdict import Refusal


class PoisonWatch:
    """Tells the detector what happens to requests at targets.

    Starts of these targets have no name, and a lost connection counts as the end of one, since a
    target may be back before the next probe.
    """

    __slots__ = ("_detector", "_state")

    def __init__(self, detector: PoisonDetector, state: StateInForce) -> None:
        self._detector = detector
        self._state = state

    def refusal_of(self, fingerprints: Fingerprints, now: float) -> Refusal | None:
        """Return a ``NOT_RUN`` refusal if the request may not be sent now, or None."""
        return self._detector.refusal_of(fingerprints, now, self._limit)

    def begin(self, fingerprints: Fingerprints, target: str, now: float) -> Work:
        """Note that the request is being sent to the target."""
        return self._detector.begin(fingerprints, self._start_of(target), now, self._limit)

    def end(self, work: Work, result: Answer | AttemptFailure, now: float) -> None:
        """Note how the attempt ended."""
        if isinstance(result, Answer) or result.answer is not None:
            self._detector.answered(work, now)
        elif not result.may_have_run:
            self._detector.not_run(work, now, heard=result.outcome is AttemptOutcome.SHED)
        elif result.outcome is AttemptOutcome.LOST:
            self._detector.lost(work, now)
            self._detector.target_ended(work.start, now, is_gone=False)
        else:
            self._detector.abandon(work, now)

    def cancel(self, work: Work, now: float) -> None:
        """Note that this host no longer waits for the answer."""
        self._detector.abandon(work, now)

    def target_silent(self, target: str) -> None:
        """Note that a probe of the target got no answer at all."""
        now = asyncio.get_running_loop().time()
        self._detector.target_silent(self._start_of(target), now)

    @property
    def _limit(self) -> int:
        state = self._state.current
        if state is None:
            raise RuntimeError("no state is in force")
        return state.deployment.defaults.crash_limit

    def _start_of(self, target: str) -> TargetStart:
        state = self._state.current
        service, _, name = target.partition("/")
        declared = None if state is None else state.deployment.services.get(service)
        found = None if declared is None else declared.targets.get(name)
        return TargetStart(target, None, "" if found is None else found.failure_domain)


def fingerprints_of_request(request: CallerRequest) -> Fingerprints:
    """Return what a repeat of the request is known by."""
    names = (request.workspace or "", request.service, request.route.path, request.digest)
    return fingerprints_of(names, b"", ((request.key_id or "",),))
