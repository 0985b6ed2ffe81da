"""Checks of the promises of the product's own interface, for the demo and the soak."""

from __future__ import annotations

from collections import Counter
from math import inf
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
    """What was done meanwhile; times are monotonic seconds, from which nothing more may run.

    ``exit_status_by_stopped_url`` holds the hosts that were stopped gracefully and not killed.
    """

    withdrawn_at_by_key_id: dict[str, float] = {}
    drained_at_by_target: dict[str, float] = {}
    exit_status_by_stopped_url: dict[str, int] = {}


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
        withdrawn_at = self._marks.withdrawn_at_by_key_id
        key_ids = {sent.call.request_id: sent.key_id for sent in self._sent}
        return tuple(
            run.request_id
            for run in self._runs
            if run.started > withdrawn_at.get(key_ids.get(run.request_id, ""), inf)
        )

    def _run_after_drain(self) -> tuple[str, ...]:
        drained_at = self._marks.drained_at_by_target
        return tuple(
            run.request_id for run in self._runs if run.started > drained_at.get(run.target, inf)
        )

    def _cut_by_stop(self) -> tuple[str, ...]:
        statuses = self._marks.exit_status_by_stopped_url
        cut = tuple(
            sent.call.request_id
            for sent in self._sent
            if sent.call.host in statuses and _reason(sent) is Reason.HOST_LOST
        )
        wrong = tuple(f"{url} ended with {status}" for url, status in statuses.items() if status)
        return (*cut, *wrong)


def _verdict(sent: Sent) -> Verdict:
    if sent.outcome is None:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN if sent.outcome.is_ok() else sent.outcome.error.verdict


def _reason(sent: Sent) -> Reason | None:
    if sent.outcome is None or sent.outcome.is_ok():
        return None
    return sent.outcome.error.reason
