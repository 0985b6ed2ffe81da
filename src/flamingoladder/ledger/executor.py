"""Dispatches requests that this host may run, each in a task of its own."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.ledger import refusals
from flamingoladder.ledger.entries import EntryState
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import Run
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.entries import Entry
    from flamingoladder.ledger.outcome_writer import OutcomeWriter
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome

RUN_GRACE_S = 5.0
JOIN_GRACE_S = 0.05


class Executor:
    """Runs entries to their end, whether or not their callers still wait.

    Once ``leaving`` is set no new request is accepted; once ``closing`` is set, nothing is
    dispatched.
    """

    __slots__ = ("_entries", "_recorder", "_tasks", "_writer", "closing", "leaving")

    def __init__(self, entries: Entries, writer: OutcomeWriter, recorder: Recorder) -> None:
        self._entries = entries
        self._writer = writer
        self._recorder = recorder
        self._tasks: set[asyncio.Task[None]] = set()
        self.leaving = False
        self.closing = False

    @property
    def full(self) -> Reason | None:
        """Return why no new request is accepted, or None."""
        if self.leaving:
            return Reason.HOST_LEAVING
        return None if self._entries.has_room else Reason.NO_CAPACITY

    @property
    def idle(self) -> bool:
        """Return whether no entry is on its way."""
        return not self._tasks

    def start(self, entry: Entry, steps: Awaitable[Outcome]) -> None:
        """Take ``steps`` in a new task and keep their outcome under the entry."""
        self._entries.add(entry)
        task = asyncio.create_task(self._take(entry, steps))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def join(self, entry: Entry, request: CallerRequest) -> Outcome | None:
        """Return the entry's outcome, waiting until the deadline.

        The grace lets an outcome win that is reached just at the deadline. None means that only
        the table has the outcome.
        """
        if entry.state is not EntryState.GIVEN_UP and entry.digest != request.digest:
            return refusals.key_reused()
        if entry.finished is None:
            return entry.kept.as_outcome() if entry.kept else None
        try:
            async with asyncio.timeout_at(request.deadline + JOIN_GRACE_S):
                return await asyncio.shield(entry.finished)
        except TimeoutError:
            return refusals.in_progress()

    async def dispatch(self, entry: Entry, request: CallerRequest, run: Run) -> Outcome:
        """Call ``run`` if the entry may be dispatched, and bound the time that it takes."""
        try:
            async with asyncio.timeout_at(request.deadline + RUN_GRACE_S):
                return await self._checked_run(entry, request, run)
        except TimeoutError:
            return refusals.may_have_run(Reason.UPSTREAM_SILENT, "no answer within the deadline")
        except Exception as error:
            self._recorder.record("ledger.run_failed", request=request.request_id, error=error)
            return refusals.may_have_run(Reason.UPSTREAM_LOST, "the run ended without an outcome")

    def _checked_run(self, entry: Entry, request: CallerRequest, run: Run) -> Awaitable[Outcome]:
        """Call ``run`` right after the last checks, with no await between them."""
        refused = self._refused(entry, request, asyncio.get_running_loop().time())
        if refused is not None:
            return _at_once(refused)
        entry.state = EntryState.RUNNING
        self._recorder.record(
            "ledger.dispatched", request=request.request_id, attempt=entry.attempt
        )
        return run(request)

    def _refused(self, entry: Entry, request: CallerRequest, now: float) -> Outcome | None:
        """Guards ``held_before_dispatch`` and ``given_up_is_final``."""
        if entry.state is not EntryState.HELD:
            return refusals.not_run(Reason.CLAIM_HELD, "this host does not hold the claim")
        if now >= request.deadline:
            return refusals.not_run(Reason.DEADLINE_PASSED, "the deadline passed before dispatch")
        if self.closing:
            return refusals.not_run(Reason.HOST_LEAVING, "this host is leaving")
        return None

    async def _take(self, entry: Entry, steps: Awaitable[Outcome]) -> None:
        try:
            outcome = await steps
        except asyncio.CancelledError:
            self._conclude(entry, refusals.may_have_run(Reason.UPSTREAM_LOST, "interrupted"))
            raise
        except Exception as error:
            self._recorder.record("ledger.failed", attempt=entry.attempt, error=error)
            outcome = refusals.may_have_run(Reason.CLAIM_OWNER_UNREACHABLE, "the ledger failed")
        self._conclude(entry, outcome)

    def _conclude(self, entry: Entry, outcome: Outcome) -> None:
        """Keep the outcome of a run; only what has not run is released: ``run_keeps_claim``."""
        if entry.state is EntryState.RUNNING and _may_have_run(outcome):
            self._entries.keep(entry, outcome)
            entry.finish(EntryState.DONE, outcome)
            self._writer.write(entry)
            return
        entry.finish(EntryState.GIVEN_UP, outcome)
        self._entries.remove(entry)
        if entry.revision is not None or entry.claim_in_doubt:
            self._writer.release(entry)


async def _at_once(outcome: Outcome) -> Outcome:
    return outcome


def _may_have_run(outcome: Outcome) -> bool:
    return outcome.is_ok() or outcome.error.verdict is not Verdict.NOT_RUN
