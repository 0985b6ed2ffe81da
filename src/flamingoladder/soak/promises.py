"""Checks of the system's promises, from what callers and targets saw."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from flamingoladder.platform.standins.deployment import BOUNDS
from flamingoladder.soak.broken import Broken
from flamingoladder.soak.history import End
from flamingoladder.soak.target_promises import TargetChecks
from flamingoladder.soak.windows import most_in_window
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from flamingoladder.platform.standins.targets import TargetArrival
    from flamingoladder.platform.standins.targets import TargetRun
    from flamingoladder.soak.history import History
    from flamingoladder.soak.history import Sent

OK = 200
UNAUTHORIZED = 401
# How long a host and the store have been undisturbed before a bound on time holds.
STABLE_S = 3.0
# A connection that ends sooner may have crossed the request that its caller was writing.
CROSSING_S = 0.2
ANSWER_SLACK_S = 0.5
ROUTE_TIMEOUT_S = 1.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
ENDS_THAT_CONDEMN = 3
MAX_SENT_ON = 3
MIN_RECOVERED_FRACTION = 0.9
NEVER_RUN_STATUSES = frozenset({401, 404, 408, 421, 429, 503})


def recovery(served: int, owed: int) -> list[Broken]:
    """Return that the system has not recovered, unless most of the owed requests were served."""
    if owed and served >= MIN_RECOVERED_FRACTION * owed:
        return []
    return [Broken("the system recovers", f"{served} of {owed} requests served")]


class Checks:
    """Compares what callers were told with what targets ran."""

    __slots__ = (
        "_history",
        "_rates_per_s",
        "_runs",
        "_runs_by_request",
        "_sent_by_id",
        "_target_checks",
    )

    def __init__(
        self,
        history: History,
        runs: Sequence[TargetRun],
        rates_per_s: dict[str, float],
        arrivals: Sequence[TargetArrival] = (),
    ) -> None:
        self._history = history
        self._runs = runs
        self._rates_per_s = rates_per_s
        self._sent_by_id = {sent.request_id: sent for sent in history.sent}
        self._runs_by_request = Counter(run.request_id for run in runs)
        self._target_checks = TargetChecks(history, self._sent_by_id, arrivals)

    def broken(self) -> list[Broken]:
        """Return all promises that were broken."""
        return [
            *self._run_twice(),
            *self._run_though_refused(),
            *self._wrong_answers(),
            *self._keys_seen(),
            *self._run_with_withdrawn_keys(),
            *self._denied_with_granted_keys(),
            *self._run_by_gone_targets(),
            *self._cut(),
            *self._unanswered(),
            *self._over_rates(),
            *self._over_target_limits(),
            *self._crashing_requests_sent_on(),
            *self._target_checks.broken(),
        ]

    def recovered(self, since: float) -> list[Broken]:
        """Return whether requests that were sent after ``since`` were not served."""
        late = [sent for sent in self._history.sent if sent.sent_at >= since]
        owed = [
            sent
            for sent in late
            if sent.workspace not in self._rates_per_s and self._withdrawn_at(sent) is None
        ]
        return recovery(sum(sent.status == OK for sent in owed), len(owed))

    def _run_twice(self) -> Iterable[Broken]:
        for sent in self._history.sent:
            runs = self._runs_by_request[sent.request_id]
            if sent.is_booking and runs > 1:
                yield Broken("a booking runs at most once", f"{sent}: {runs} runs")

    def _run_though_refused(self) -> Iterable[Broken]:
        for sent in self._history.sent:
            refused = sent.verdict == Verdict.NOT_RUN or sent.status in NEVER_RUN_STATUSES
            is_bound = sent.is_booking or sent.verdict == Verdict.NOT_RUN
            if refused and is_bound and self._runs_by_request[sent.request_id]:
                yield Broken("a refusal saying not run is true", str(sent))

    def _wrong_answers(self) -> Iterable[Broken]:
        for sent in self._history.sent:
            if sent.status == OK and not sent.is_own:
                yield Broken("a caller gets the whole answer to its own request", str(sent))

    def _keys_seen(self) -> Iterable[Broken]:
        for run in self._runs:
            if run.key is not None:
                yield Broken("no target sees a caller's key", str(run))

    def _run_with_withdrawn_keys(self) -> Iterable[Broken]:
        for run in self._runs:
            sent = self._sent_by_id.get(run.request_id)
            withdrawn_at = None if sent is None else self._withdrawn_at(sent)
            if sent is None or withdrawn_at is None:
                continue
            if self._is_bound(sent, withdrawn_at, run.at):
                yield Broken("a withdrawn key runs nothing", f"{sent}, withdrawn {withdrawn_at}")

    def _denied_with_granted_keys(self) -> Iterable[Broken]:
        for sent in self._history.sent:
            granted_at = self._history.granted_at_by_key.get(sent.key, self._history.start)
            withdrawn_at = self._withdrawn_at(sent)
            is_granted = withdrawn_at is None or sent.ended_at < withdrawn_at
            if sent.status != UNAUTHORIZED or not is_granted:
                continue
            if self._is_bound(sent, granted_at, sent.ended_at):
                yield Broken("a granted key works", f"{sent}, granted {granted_at}")

    def _withdrawn_at(self, sent: Sent) -> float | None:
        return self._history.withdrawn_at_by_key.get(sent.key)

    def _run_by_gone_targets(self) -> Iterable[Broken]:
        for run in self._runs:
            sent = self._sent_by_id.get(run.request_id)
            left_at = self._history.left_at_by_target.get(run.target_id)
            if sent is None or left_at is None:
                continue
            if self._is_bound(sent, left_at, run.at):
                yield Broken("a target that left gets no new work", f"{run}, left {left_at}")

    def _cut(self) -> Iterable[Broken]:
        """Return requests whose connection ended without an answer, though their host ran on."""
        for sent in self._history.sent:
            if sent.end is not End.CUT or self._was_disturbed(sent):
                continue
            was_run = self._runs_by_request[sent.request_id] > 0
            if was_run or sent.ended_at - sent.sent_at > CROSSING_S:
                yield Broken("no request is cut, also by a planned stop", str(sent))

    def _unanswered(self) -> Iterable[Broken]:
        for sent in self._history.sent:
            took_s = sent.ended_at - sent.sent_at
            is_late = sent.end is End.SILENT or took_s > ROUTE_TIMEOUT_S + ANSWER_SLACK_S
            if is_late and not self._was_disturbed(sent):
                yield Broken("a request is answered in time", f"{sent}, after {took_s:.3f} s")

    def _over_rates(self) -> Iterable[Broken]:
        tolerance = BOUNDS.rate_tolerance
        for workspace, per_s in self._rates_per_s.items():
            times = [run.at for run in self._runs if run.workspace == workspace]
            allowed = (per_s * tolerance.window_s + per_s) * (1 + tolerance.overshoot)
            allowed += tolerance.slack
            most = most_in_window(times, tolerance.window_s)
            if most > allowed:
                evidence = f"{workspace}: {most} in {tolerance.window_s} s, {allowed} allowed"
                yield Broken("no workspace exceeds its rate", evidence)

    def _over_target_limits(self) -> Iterable[Broken]:
        for limit in self._history.limits:
            since = limit.span.since + STABLE_S
            times = [
                run.at
                for run in self._runs
                if run.target_id == limit.target_id
                and since <= run.at <= limit.span.until
                and self._is_undisturbed(run)
            ]
            allowed = limit.per_s * LIMIT_WINDOW_S * LIMIT_FACTOR + LIMIT_SLACK
            most = most_in_window(times, LIMIT_WINDOW_S)
            if most > allowed:
                yield Broken(
                    "a target gets no more than the limit that it names",
                    f"{limit}: {most} in {LIMIT_WINDOW_S} s, {allowed} allowed",
                )

    def _crashing_requests_sent_on(self) -> Iterable[Broken]:
        for path, ended_at in self._history.crashes_by_path.items():
            if len(ended_at) < ENDS_THAT_CONDEMN:
                continue
            late_at = sorted(ended_at)[ENDS_THAT_CONDEMN - 1] + STABLE_S
            late = [
                run
                for run in self._runs
                if run.path == path and run.at > late_at and self._is_undisturbed(run)
            ]
            if len(late) > MAX_SENT_ON:
                evidence = f"{path}: {len(late)} after {late_at}, ends at {sorted(ended_at)}"
                yield Broken("a request that crashes targets is held back", evidence)

    def _acknowledged_at(self, written_at: float) -> float:
        """Return from when a bound counts after a write that the store acknowledged.

        It counts only once the store is stable, as entries that expired in an outage come back
        after it, and hosts wait for that.
        """
        stable_at = written_at
        for span in self._history.faults_by_name.get(self._history.STORE, []):
            if span.overlaps(stable_at - STABLE_S, stable_at):
                stable_at = max(stable_at, span.until + STABLE_S)
        return stable_at

    def _is_undisturbed(self, run: TargetRun) -> bool:
        sent = self._sent_by_id.get(run.request_id)
        if sent is None:
            return False
        return not self._history.was_disturbed(sent.host, run.at - STABLE_S, run.at)

    def _is_bound(self, sent: Sent, written_at: float, until: float) -> bool:
        """Return whether a change must be in force at the request's host, which is in touch."""
        due = self._acknowledged_at(written_at) + BOUNDS.propagation_s
        if sent.sent_at <= due:
            return False
        return self._history.in_touch(sent.host, sent.sent_at - STABLE_S, until)

    def _was_disturbed(self, sent: Sent) -> bool:
        return self._history.was_disturbed(sent.host, sent.sent_at, sent.ended_at)
