"""Execution of the requests that this host may run, each in a task of its own."""

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
    from flamingoladder.gateway.stages import RequestRunner
    from flamingoladder.ledger.entries import Entries
    from flamingoladder.ledger.entries import Entry
    from flamingoladder.ledger.outcome_writer import OutcomeWriter
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome

RUN_GRACE_S = 5.0
JOIN_GRACE_S = 0.05


class Executor:
    """Runs entries to completion, also after their callers have disconnected.

    Once ``shutting_down`` is set, no new request is accepted; once ``dispatch_stopped`` is set,
    nothing is dispatched.
    """

    __slots__ = ("_entries", "_recorder", "_tasks", "_writer", "dispatch_stopped", "shutting_down")

    def __init__(self, entries: Entries, writer: OutcomeWriter, recorder: Recorder) -> None:
        self._entries = entries
        self._writer = writer
        self._recorder = recorder
        self._tasks: set[asyncio.Task[None]] = set()
        self.shutting_down = False
        self.dispatch_stopped = False

    @property
    def rejection_reason(self) -> Reason | None:
        """Return why no new request is accepted, or None."""
        if self.shutting_down:
            return Reason.HOST_LEAVING
        return None if self._entries.has_room else Reason.NO_CAPACITY

    @property
    def idle(self) -> bool:
        """Return whether no entry is in progress."""
        return not self._tasks

    def start(self, entry: Entry, work: Awaitable[Outcome]) -> None:
        """Await ``work`` in a new task and store its outcome in the entry."""
        self._entries.add(entry)
        task = asyncio.create_task(self._run_task(entry, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def join(self, entry: Entry, request: CallerRequest) -> Outcome | None:
        """Return the entry's outcome, waiting until the deadline.

        ``JOIN_GRACE_S`` lets an outcome that arrives right at the deadline still be returned. None
        means that only the table has the outcome.
        """
        if entry.state is not EntryState.ABANDONED and entry.digest != request.digest:
            return refusals.key_reused()
        if entry.outcome_future is None:
            return entry.cached_outcome.as_outcome() if entry.cached_outcome else None
        try:
            async with asyncio.timeout_at(request.deadline + JOIN_GRACE_S):
                return await asyncio.shield(entry.outcome_future)
        except TimeoutError:
            return refusals.in_progress()

    async def dispatch(self, entry: Entry, request: CallerRequest, run: RequestRunner) -> Outcome:
        """Call ``run`` if dispatch is allowed; cancel it ``RUN_GRACE_S`` after the deadline."""
        try:
            async with asyncio.timeout_at(request.deadline + RUN_GRACE_S):
                return await self._checked_run(entry, request, run)
        except TimeoutError:
            return refusals.may_have_run(Reason.UPSTREAM_SILENT, "no answer within the deadline")
        except Exception as error:
            self._recorder.record("ledger.run_failed", request=request.request_id, error=error)
            return refusals.may_have_run(Reason.UPSTREAM_LOST, "the run ended without an outcome")

    def _checked_run(
        self, entry: Entry, request: CallerRequest, run: RequestRunner
    ) -> Awaitable[Outcome]:
        """Check that the entry may be dispatched and call ``run``, with no await in between."""
        refusal = self._dispatch_refusal(entry, request, asyncio.get_running_loop().time())
        if refusal is not None:
            return _immediate(refusal)
        entry.state = EntryState.RUNNING
        self._recorder.record(
            "ledger.dispatched", request=request.request_id, attempt=entry.attempt
        )
        return run(request)

    def _dispatch_refusal(self, entry: Entry, request: CallerRequest, now: float) -> Outcome | None:
        """Return why the entry must not be dispatched, or None if it may be.

        Model guards ``held_before_dispatch`` and ``given_up_is_final``.
        """
        if entry.state is not EntryState.CLAIMED:
            return refusals.not_run(Reason.CLAIM_HELD, "this host does not hold the claim")
        if now >= request.deadline:
            return refusals.not_run(Reason.DEADLINE_PASSED, "the deadline passed before dispatch")
        if self.dispatch_stopped:
            return refusals.not_run(Reason.HOST_LEAVING, "this host is leaving")
        return None

    async def _run_task(self, entry: Entry, work: Awaitable[Outcome]) -> None:
        try:
            outcome = await work
        except asyncio.CancelledError:
            self._complete(entry, refusals.may_have_run(Reason.UPSTREAM_LOST, "interrupted"))
            raise
        except Exception as error:
            self._recorder.record("ledger.failed", attempt=entry.attempt, error=error)
            outcome = refusals.may_have_run(Reason.CLAIM_OWNER_UNREACHABLE, "the ledger failed")
        self._complete(entry, outcome)

    def _complete(self, entry: Entry, outcome: Outcome) -> None:
        """Store the outcome, and release the claim only if the request certainly has not run.

        Model guard ``run_keeps_claim``.
        """
        if entry.state is EntryState.RUNNING and _may_have_run(outcome):
            self._entries.cache_outcome(entry, outcome)
            entry.finish(EntryState.DONE, outcome)
            self._writer.write(entry)
            return
        entry.finish(EntryState.ABANDONED, outcome)
        self._entries.remove(entry)
        if entry.revision is not None or entry.claim_in_doubt:
            self._writer.release(entry)


async def _immediate(outcome: Outcome) -> Outcome:
    return outcome


def _may_have_run(outcome: Outcome) -> bool:
    return outcome.is_ok() or outcome.error.verdict is not Verdict.NOT_RUN
