"""Detects poison requests, which crash each target that runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.poison.at_work import RequestsAtWork
from flamingoladder.poison.at_work import Work
from flamingoladder.poison.evidence_changes import EvidenceChanges
from flamingoladder.poison.history import MAX_FINGERPRINTS_PER_END
from flamingoladder.poison.history import TRIAL_S
from flamingoladder.poison.history import CrashHistory
from flamingoladder.poison.history import Status
from flamingoladder.poison.history import TargetEnd
from flamingoladder.poison.messages import AnswerReport
from flamingoladder.poison.messages import EndReport
from flamingoladder.poison.messages import PoisonReport
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from flamingoladder.poison.at_work import TargetStart
    from flamingoladder.poison.exchange import PoisonExchange
    from flamingoladder.poison.fingerprints import Fingerprints
    from flamingoladder.poison.history import Standing
    from flamingoladder.timeline.recorder import Recorder

# So many ends at targets condemn a request; the last one before is run as the only one.
MAX_CAUSES = 3
# A send that waits longer for its answer is no reason to take the target for silent before this.
SILENT_AFTER_S = 1.5
MS_PER_S = 1_000
# What other hosts report seems later by the passage of the message.
PASSAGE_S = 0.25
MAX_REPORTED_ENDS = 100
MAX_REPORTED_ANSWERS = 200


class PoisonDetector:
    """What this host and the others know of ended targets and of the requests at work there.

    ``now`` returns monotonic seconds for replies to other hosts.
    """

    __slots__ = (
        "_exchange",
        "_history",
        "_recorder",
        "_trials",
        "at_work",
        "evidence_changes",
    )

    def __init__(
        self, exchange: PoisonExchange, recorder: Recorder, now: Callable[[], float]
    ) -> None:
        self._exchange = exchange
        self._recorder = recorder
        self._history = CrashHistory()
        self._trials: dict[int, float] = {}
        self.at_work = RequestsAtWork()
        self.evidence_changes = EvidenceChanges()
        exchange.serve(self.learn, lambda: self.report(now(), everything=True))

    def standing(self, fingerprints: Fingerprints, now: float, limit: int = MAX_CAUSES) -> Standing:
        """Return what may be done with a request; a suspect that is being tried has to wait."""
        standing = self._history.standing(fingerprints, limit, now)
        if standing.status is not Status.SUSPECT:
            return standing
        wait_s = max((self._trials.get(of, now) - now for of in fingerprints), default=0.0)
        if wait_s > 0 or self.at_work.is_at_work(fingerprints):
            return msgspec.structs.replace(standing, wait_s=max(wait_s, TRIAL_S / 2))
        return standing

    def refusal_of(
        self, fingerprints: Fingerprints, now: float, limit: int = MAX_CAUSES
    ) -> Refusal | None:
        """Return a ``NOT_RUN`` refusal if the request is not to be sent now, or None."""
        standing = self.standing(fingerprints, now, limit)
        if standing.status is Status.FREE or standing.wait_s <= 0:
            return None
        detail = f"targets ended under requests like this, by {standing.causes} causes"
        if standing.status is Status.SUSPECT:
            detail += "; one is being tried"
        return Refusal.not_run(Reason.REQUEST_CRASHES_UPSTREAMS, detail, standing.wait_s)

    def begin(
        self,
        fingerprints: Fingerprints,
        start: TargetStart,
        now: float,
        limit: int = MAX_CAUSES,
    ) -> Work:
        """Note that a request is being sent; other hosts are told of a suspect."""
        work = Work(fingerprints, start, now)
        self.at_work.add(work)
        if self._history.standing(fingerprints, limit, now).status is Status.SUSPECT:
            tried = tuple(of for of in fingerprints if self._history.is_suspect(of))
            self._start_trials(tried, now)
            self._exchange.broadcast(PoisonReport(trials=tried))
            self._recorder.record(
                "poison.tried", fingerprint=_text_of(fingerprints), target=start.target
            )
        return work

    def answered(self, work: Work, now: float) -> None:
        """Note that the target answered, so this request does not crash its targets."""
        self.at_work.remove(work)
        self.at_work.note_heard(work.start.target, now)
        accused = set(filter(self._history.is_accused, work.fingerprints))
        cleared = [of for of in work.fingerprints if self._history.note_answer(of, work.began)]
        if not cleared:
            return
        self._note_cleared(accused.intersection(cleared))
        age_ms = _age_ms(work.began, now)
        answers = tuple(AnswerReport(fingerprint, age_ms) for fingerprint in cleared)
        self._exchange.broadcast(PoisonReport(answers=answers))
        self._recorder.record("poison.cleared", fingerprint=_text_of(work.fingerprints))

    def not_run(self, work: Work, now: float, *, heard: bool) -> None:
        """Note that the request did not run; ``heard`` if the target itself said so."""
        self.at_work.remove(work)
        if heard:
            self.at_work.note_heard(work.start.target, now)

    def lost(self, work: Work, now: float) -> None:
        """Note that the connection was lost while the target had the request."""
        work.lost_at = now

    def abandon(self, work: Work, now: float) -> None:
        """Note that this host no longer waits for the answer."""
        if work.lost_at is None:
            work.abandoned_at = now

    def target_ended(self, start: TargetStart, now: float, *, is_gone: bool = True) -> None:
        """Count the end of a target for the requests that were at work there.

        With ``is_gone`` False it only refuses connections, so one that is open may still serve.
        """
        suspects = self.at_work.take_suspects(start, now, is_gone=is_gone)
        if not suspects:
            return
        found = [fingerprint for work in suspects for fingerprint in work.fingerprints]
        end = TargetEnd(
            target=start.target,
            incarnation=start.incarnation,
            failure_domain=start.failure_domain,
            at=min(_ended_at(work, now) for work in suspects),
            began=min(work.began for work in suspects),
            fingerprints=frozenset(found[:MAX_FINGERPRINTS_PER_END]),
        )
        if self._add(end, None, now):
            self._exchange.broadcast(PoisonReport(ends=(_end_report(end, now),)))
            self.evidence_changes.note_accused(filter(self._history.is_accused, end.fingerprints))

    def target_silent(self, start: TargetStart, now: float) -> None:
        """Count the end of a target that answers no probe, if requests there are unanswered too."""
        if self.at_work.oldest_silent(start.target) is not None:
            self.target_ended(start, now)

    def learn(self, report: PoisonReport, now: float) -> None:
        """Take in what another host knows."""
        for reported in report.ends:
            self._add(_end_of(reported, now), "peer", now)
        for answer in report.answers:
            began = now - answer.began_age_ms / MS_PER_S
            self._history.note_answer(answer.fingerprint, began)
        self._start_trials(report.trials, now)

    def restore(self, ends: Iterable[TargetEnd], now: float) -> None:
        """Take in ends that were kept in the store."""
        for end in ends:
            self._add(end, "store", now)

    def evidence(self, fingerprints: frozenset[int]) -> list[TargetEnd]:
        """Return the ends that count against any of the fingerprints, with these alone."""
        return self._history.evidence(fingerprints)

    def report(self, now: float, *, everything: bool) -> PoisonReport:
        """Return what this host knows, the oldest ends left out if they are too many.

        Unless it is ``everything``, old ends that count against no suspect are left out too.
        """
        known = self._history.ends if everything else self._history.pressing_ends(now)
        ends = list(known)[-MAX_REPORTED_ENDS:]
        reported = {fingerprint for end in ends for fingerprint in end.fingerprints}
        answers = [item for item in self._history.answers if item[0] in reported]
        return PoisonReport(
            ends=tuple(_end_report(end, now) for end in ends),
            answers=tuple(
                AnswerReport(fingerprint, _age_ms(began, now))
                for fingerprint, began in answers[-MAX_REPORTED_ANSWERS:]
            ),
        )

    def expire(self, now: float) -> None:
        """Forget what is too old to count."""
        self.at_work.expire(now)
        self._history.expire(now)
        self._trials = {of: until for of, until in self._trials.items() if until > now}

    def _note_cleared(self, fingerprints: set[int]) -> None:
        """Have the evidence against these removed, and that against others of their ends kept."""
        self.evidence_changes.note_cleared(fingerprints)
        for end in self._history.ends_under(fingerprints):
            self.evidence_changes.note_accused(filter(self._history.is_accused, end.fingerprints))

    def _add(self, end: TargetEnd, source: str | None, now: float) -> bool:
        if not self._history.add(end):
            return False
        self._recorder.record(
            "poison.target_ended",
            target=end.target,
            incarnation=end.incarnation,
            requests=",".join(f"{of:016x}" for of in sorted(end.fingerprints)),
            ago_ms=_age_ms(end.at, now),
            source=source,
        )
        return True

    def _start_trials(self, fingerprints: Iterable[int], now: float) -> None:
        for fingerprint in fingerprints:
            self._trials[fingerprint] = now + TRIAL_S


def _ended_at(work: Work, now: float) -> float:
    """Return when the target ended, as far as this request tells: at its loss, or in silence."""
    if work.lost_at is not None:
        return work.lost_at
    return min(now, work.began + SILENT_AFTER_S)


def _end_report(end: TargetEnd, now: float) -> EndReport:
    return EndReport(
        end.target,
        end.incarnation,
        end.failure_domain,
        _age_ms(end.at, now),
        _age_ms(end.began, now),
        tuple(sorted(end.fingerprints)),
    )


def _end_of(report: EndReport, now: float) -> TargetEnd:
    return TargetEnd(
        target=report.target,
        incarnation=report.incarnation,
        failure_domain=report.failure_domain,
        at=now - report.age_ms / MS_PER_S,
        began=now - report.began_age_ms / MS_PER_S - PASSAGE_S,
        fingerprints=frozenset(report.fingerprints),
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * MS_PER_S))


def _text_of(fingerprints: Fingerprints) -> str:
    return ",".join(f"{fingerprint:016x}" for fingerprint in fingerprints)
