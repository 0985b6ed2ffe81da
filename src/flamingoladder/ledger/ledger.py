"""The ledger of one host: claim rows for callers' own keys."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from flamingoladder.gateway.stages import Ledger
from flamingoladder.ledger import refusals
from flamingoladder.ledger.answers import AnswerStore
from flamingoladder.ledger.claims import Claims
from flamingoladder.ledger.entries import Entries
from flamingoladder.ledger.entries import Entry
from flamingoladder.ledger.executor import Executor
from flamingoladder.ledger.holders import Holders
from flamingoladder.ledger.records import claim_name
from flamingoladder.ledger.writer import OutcomeWriter
from flamingoladder.platform.exceptions import PlatformUnavailableError
from flamingoladder.verdict import Reason

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import Run
    from flamingoladder.members.state import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.platform.objects import ObjectStore
    from flamingoladder.platform.table import TableService
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome


class ClaimLedger(Ledger):
    """Runs non-idempotent requests at most once over all hosts.

    ``serve`` must run in a task of its own for as long as the host runs.
    """

    __slots__ = ("_attempts", "_claims", "_entries", "_executor", "_state", "_writer")

    def __init__(
        self, entries: Entries, claims: Claims, executor: Executor, writer: OutcomeWriter
    ) -> None:
        self._entries = entries
        self._claims = claims
        self._executor = executor
        self._writer = writer
        self._attempts = count(1)

    @classmethod
    def from_config(
        cls,
        table: TableService,
        objects: ObjectStore,
        links: PeerLinks,
        recorder: Recorder,
        own: Member,
        state: StateInForce,
    ) -> ClaimLedger:
        """Return the ledger of the incarnation ``own``."""
        entries = Entries()
        answers = AnswerStore(objects)
        writer = OutcomeWriter(table, answers, entries, recorder)
        claims = Claims(table, answers, Holders(entries, links, own), own)
        return cls(entries, claims, Executor(entries, writer, recorder), writer)

    async def serve(self) -> None:
        """Write outcomes in the background."""
        await self._writer.serve()

    async def run_once(self, request: CallerRequest, run: Run) -> Outcome:
        """Claim the request, call ``run`` at most once, and keep the outcome for repeats."""
        if request.idempotency_key is None:
            return refusals.not_run(Reason.IDEMPOTENCY_KEY_MISSING, "an idempotency key is needed")
        name = claim_name(request.workspace, request.idempotency_key)
        entry = self._entries.by_name.get(name)
        if entry is None:
            if not self._entries.has_room:
                return self._unclaimed(request, Reason.NO_CAPACITY, "too many requests in doubt")
            entry = self._entry(name, request)
            self._executor.start(entry, self._claim_and_run(entry, request, run))
        outcome = await self._executor.join(entry, request)
        return outcome or refusals.in_progress()

    async def outcome_of(self, workspace: str, idempotency_key: str) -> Outcome:
        """Return what is known of an earlier request."""
        raise NotImplementedError

    def issue_ticket(self, workspace: str) -> str:
        """Return a new ticket, an idempotency key that only this incarnation may run."""
        raise NotImplementedError

    def _entry(self, name: str, request: CallerRequest) -> Entry:
        now = asyncio.get_running_loop().time()
        return Entry(name, next(self._attempts), request.digest, remembered_until=now)

    async def _claim_and_run(self, entry: Entry, request: CallerRequest, run: Run) -> Outcome:
        try:
            outcome = await self._claims.claim(entry, request)
        except PlatformUnavailableError:
            reason = Reason.CLAIM_STORE_UNAVAILABLE
            return self._unclaimed(request, reason, "the claim could not be written")
        if outcome is not None:
            return outcome
        return await self._executor.dispatch(entry, request, run)

    def _unclaimed(self, request: CallerRequest, reason: Reason, detail: str) -> Outcome:
        return refusals.unclaimed(request, reason, detail, "")
