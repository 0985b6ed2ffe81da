"""Commits changes of the agreed state, retries them and resolves writes of unknown outcome."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING
from uuid import uuid4

from expression import Error
from expression import Ok

from flamingoladder.freshness import guards
from flamingoladder.freshness.commit_attempt import Committed
from flamingoladder.freshness.commit_attempt import PendingChange
from flamingoladder.freshness.commit_attempt import Retry
from flamingoladder.freshness.commit_results import CommitRefused
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.freshness.commit_results import RefusalKind

if TYPE_CHECKING:
    from expression import Result

    from flamingoladder.freshness.announcer import Announcement
    from flamingoladder.freshness.announcer import Announcer
    from flamingoladder.freshness.changes import Change
    from flamingoladder.freshness.commit_attempt import CommitAttempts
    from flamingoladder.freshness.intents import IntentAnnouncer
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.freshness.tasks import BackgroundTasks
    from flamingoladder.timeline.recorder import Recorder

COMMIT_RETRY_INTERVAL_S = 0.05
OUTCOME_RETRY_INTERVAL_S = 1.0


class Committer:
    """Commits the changes of the operators and of the host itself."""

    __slots__ = (
        "_aborted_change_ids",
        "_announcer",
        "_attempts",
        "_intents",
        "_local_state",
        "_lock",
        "_recorder",
        "_settings",
        "_tasks",
    )

    def __init__(
        self,
        local_state: LocalState,
        attempts: CommitAttempts,
        intents: IntentAnnouncer,
        announcer: Announcer,
        recorder: Recorder,
        settings: FreshnessSettings,
        tasks: BackgroundTasks,
    ) -> None:
        self._local_state = local_state
        self._attempts = attempts
        self._intents = intents
        self._announcer = announcer
        self._recorder = recorder
        self._settings = settings
        self._lock = asyncio.Lock()
        self._aborted_change_ids: set[str] = set()
        self._tasks = tasks

    def is_open(self, change_id: str) -> bool:
        """Return whether this host's intent is open: the change was, or may yet be, committed."""
        return change_id not in self._aborted_change_ids

    async def commit(self, change: Change) -> Result[CommitReport, CommitRefused]:
        """Commit ``change`` and wait, up to the timeouts, until it is in force everywhere.

        The commit goes on if the caller is cancelled.
        """
        return await asyncio.shield(self._tasks.start(self._commit(change)))

    async def _commit(self, change: Change) -> Result[CommitReport, CommitRefused]:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        pending = PendingChange(uuid4().hex, change)
        result = await self._commit_with_retries(
            pending, started_at + self._settings.commit_timeout_s
        )
        if isinstance(result, CommitRefused):
            self._handle_refusal(pending, result)
            return Error(result)
        announcement = self._announce(pending, result)
        in_force = await self._announcer.wait_in_force(announcement)
        seconds = loop.time() - started_at
        hosts = tuple(sorted(announcement.installed_on))
        version = result.head.version
        self._recorder.record(
            "change.in_force" if in_force else "change.not_in_force",
            change=pending.change_id,
            version=version,
            seconds=round(seconds, 3),
        )
        return Ok(CommitReport(pending.change_id, version, True, in_force, hosts, seconds))

    async def _commit_with_retries(
        self, pending: PendingChange, deadline: float
    ) -> Committed | CommitRefused:
        """Retry until the change is committed or refused, or ``deadline`` has passed.

        Changes of this host are committed one at a time.
        """
        loop = asyncio.get_running_loop()
        async with self._lock:
            while True:
                result = await self._attempts.attempt(pending)
                if isinstance(result, Committed):
                    return result
                if isinstance(result, CommitRefused) and pending.unresolved_base_version is None:
                    return result
                if loop.time() >= deadline:
                    return self._timeout_refusal(pending, result)
                await asyncio.sleep(COMMIT_RETRY_INTERVAL_S)

    def _timeout_refusal(
        self, pending: PendingChange, result: CommitRefused | Retry
    ) -> CommitRefused:
        if isinstance(result, CommitRefused):
            return result
        present_version = self._local_state.installed
        return pending.refusal(
            RefusalKind.CONFLICT, f"attempts ended: {result.reason}", present_version
        )

    def _handle_refusal(self, pending: PendingChange, refusal: CommitRefused) -> None:
        self._recorder.record(
            "change.refused",
            change=pending.change_id,
            scope=pending.change.scope,
            why=refusal.kind,
            detail=refusal.detail,
        )
        if guards.may_abort_intent(pending.unresolved_base_version):
            self._abort(pending)
        elif pending.change.suspended_key is not None:
            self._tasks.start(self._resolve_outcome(pending))

    def _abort(self, pending: PendingChange) -> None:
        self._aborted_change_ids.add(pending.change_id)
        self._intents.abort(pending.change_id, self._local_state.members_by_host)

    def _announce(self, pending: PendingChange, committed: Committed) -> Announcement:
        self._recorder.record(
            "change.committed",
            change=pending.change_id,
            scope=pending.change.scope,
            version=committed.head.version,
        )
        now = asyncio.get_running_loop().time()
        return self._announcer.start(committed.head, now if committed.key_suspended else math.inf)

    async def _resolve_outcome(self, pending: PendingChange) -> None:
        """Retry a withdrawal until its outcome is known; its key stays refused until then."""
        while True:
            result = await self._commit_with_retries(pending, asyncio.get_running_loop().time())
            if isinstance(result, Committed):
                self._announce(pending, result)
                return
            if result.kind is RefusalKind.REJECTED:
                self._abort(pending)
                return
            await asyncio.sleep(OUTCOME_RETRY_INTERVAL_S)
