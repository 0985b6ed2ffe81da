"""Checks of the promises that the demo looks at."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.demo.traffic import Sent
    from flamingoladder.standins.upstream_messages import RunsReport


class Promise(msgspec.Struct, frozen=True):
    """A promise and the calls or runs that broke it."""

    text: str
    broken_by: tuple[str, ...]


class Marks(msgspec.Struct, frozen=True):
    """What was done during the demo; times are monotonic seconds."""

    withdrawn_key_id: str
    withdrawn_at: float
    drained_target: str
    drained_at: float
    stopped_url: str
    stopped_exit_status: int


class Evidence:
    """What callers were told, and what upstreams really ran."""

    __slots__ = ("_marks", "_reports", "_runs", "_sent")

    def __init__(self, sent: Sequence[Sent], reports: Sequence[RunsReport], marks: Marks) -> None:
        self._sent = sent
        self._reports = reports
        self._runs = [run for report in reports for run in report.runs]
        self._marks = marks

    def promises(self) -> list[Promise]:
        """Return all promises with what broke them."""
        return [
            Promise("non-idempotent work runs at most once", self._run_twice()),
            Promise("a refusal saying not run is true", self._run_though_denied()),
            Promise("a caller gets the whole answer to its own request", self._wrong_answers()),
            Promise("no upstream sees a caller's key", self._keys_seen()),
            Promise("a withdrawn key runs nothing once reported", self._run_after_withdrawal()),
            Promise("a drained target gets no new work", self._run_after_drain()),
            Promise("a graceful stop cuts no request", self._cut_by_stop()),
        ]

    def _run_twice(self) -> tuple[str, ...]:
        single = {sent.call.request_id for sent in self._sent if not sent.call.idempotent}
        runs = Counter(run.request_id for run in self._runs if run.request_id in single)
        return tuple(request for request, count in runs.items() if count > 1)

    def _run_though_denied(self) -> tuple[str, ...]:
        run = {run.request_id for run in self._runs}
        return tuple(
            sent.call.request_id
            for sent in self._sent
            if _verdict(sent) is Verdict.NOT_RUN and sent.call.request_id in run
        )

    def _wrong_answers(self) -> tuple[str, ...]:
        return tuple(
            sent.call.request_id
            for sent in self._sent
            if sent.outcome is not None
            and sent.outcome.is_ok()
            and sent.outcome.ok.body.decode() != sent.call.request_id
        )

    def _keys_seen(self) -> tuple[str, ...]:
        return tuple("authorization" for report in self._reports if report.authorization_seen)

    def _run_after_withdrawal(self) -> tuple[str, ...]:
        marks = self._marks
        key_ids = {sent.call.request_id: sent.key_id for sent in self._sent}
        return tuple(
            run.request_id
            for run in self._runs
            if key_ids.get(run.request_id) == marks.withdrawn_key_id
            and run.started > marks.withdrawn_at
        )

    def _run_after_drain(self) -> tuple[str, ...]:
        marks = self._marks
        return tuple(
            run.request_id
            for run in self._runs
            if run.target == marks.drained_target and run.started > marks.drained_at
        )

    def _cut_by_stop(self) -> tuple[str, ...]:
        marks = self._marks
        cut = tuple(
            sent.call.request_id
            for sent in self._sent
            if sent.call.host == marks.stopped_url and _reason(sent) is Reason.HOST_LOST
        )
        status = marks.stopped_exit_status
        return (*cut, f"exit status {status}") if status else cut


def _verdict(sent: Sent) -> Verdict:
    if sent.outcome is None:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN if sent.outcome.is_ok() else sent.outcome.error.verdict


def _reason(sent: Sent) -> Reason | None:
    if sent.outcome is None or sent.outcome.is_ok():
        return None
    return sent.outcome.error.reason
