"""The idempotency ledger of one host, assembled from its parts."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec
from expression import Error

from flamingoladder.gateway.stages import Ledger
from flamingoladder.ledger.answer_store import AnswerStore
from flamingoladder.ledger.caller_key_handler import CallerKeyHandler
from flamingoladder.ledger.claim_queries import ClaimQueries
from flamingoladder.ledger.claim_store import ClaimStore
from flamingoladder.ledger.entries import Entries
from flamingoladder.ledger.era_recovery import EraRecovery
from flamingoladder.ledger.executor import Executor
from flamingoladder.ledger.graceful_shutdown import GracefulShutdown
from flamingoladder.ledger.issued_tickets import IssuedTickets
from flamingoladder.ledger.outcome_writer import OutcomeWriter
from flamingoladder.ledger.pruner import Pruner
from flamingoladder.ledger.revision_marks import RevisionMarks
from flamingoladder.ledger.row_reader import RowReader
from flamingoladder.ledger.rows import workspace_name
from flamingoladder.ledger.ticket_handler import TicketHandler
from flamingoladder.ledger.ticket_resolver import TicketResolver
from flamingoladder.ledger.tickets import TicketIssuer
from flamingoladder.ledger.tickets import is_ticket
from flamingoladder.ledger.written_rows import WrittenRows
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import RequestRunner
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.objects import ObjectStore
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome

OUTCOME_TIMEOUT_S = 3.0
EXPIRY_INTERVAL_S = 5.0


class ClaimLedger(Ledger):
    """Runs non-idempotent requests at most once over all hosts.

    A caller's own idempotency key is claimed by a row of the table; a ticket is run by its issuer
    alone, without the table. ``serve`` must run in a task of its own for as long as the host runs.
    """

    __slots__ = (
        "_caller_key_handler",
        "_entries",
        "_issuer",
        "_pruner",
        "_recovery",
        "_shutdown",
        "_ticket_handler",
        "_writer",
    )

    def __init__(
        self,
        entries: Entries,
        writer: OutcomeWriter,
        issuer: TicketIssuer,
        caller_key_handler: CallerKeyHandler,
        ticket_handler: TicketHandler,
        shutdown: GracefulShutdown,
        pruner: Pruner,
        recovery: EraRecovery,
    ) -> None:
        self._entries = entries
        self._writer = writer
        self._issuer = issuer
        self._caller_key_handler = caller_key_handler
        self._ticket_handler = ticket_handler
        self._shutdown = shutdown
        self._pruner = pruner
        self._recovery = recovery

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
        reader = RowReader(table, answers)
        written_rows = WrittenRows()
        recovery = EraRecovery(table, entries, written_rows, links, state, recorder)
        writer = OutcomeWriter(table, answers, entries, written_rows, recorder)
        executor = Executor(entries, writer, recorder)
        issuer = TicketIssuer(own)
        queries = ClaimQueries(entries, links, own)
        claim_store = ClaimStore(table, reader, answers, queries, own, written_rows, recovery)
        issued_tickets = IssuedTickets(issuer, entries, links)
        resolver = TicketResolver(issued_tickets, links, reader)
        return cls(
            entries,
            writer,
            issuer,
            CallerKeyHandler(entries, claim_store, executor, issuer),
            TicketHandler(entries, issued_tickets, resolver, executor, state),
            GracefulShutdown(executor, writer, recovery, table, own),
            Pruner(table, RevisionMarks(table), links, state, recorder, Random(own.incarnation)),
            recovery,
        )

    async def serve(self) -> None:
        """Write outcomes, remove expired entries and prune old rows while the host runs."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._writer.serve())
            tasks.create_task(self._remove_expired())
            tasks.create_task(self._pruner.serve())
            tasks.create_task(self._recovery.serve())

    async def run_once(self, request: CallerRequest, run: RequestRunner) -> Outcome:
        """Claim the request's key, call ``run`` at most once, and store the outcome for repeats."""
        key = request.idempotency_key
        if key is None:
            return self._key_missing_refusal(request)
        if is_ticket(key):
            return await self._ticket_handler.run_once(request, key, run)
        return await self._caller_key_handler.run_once(request, key, run)

    async def outcome_of(self, workspace: str, idempotency_key: str) -> Outcome:
        """Return the outcome of an earlier request.

        A key that has not run is closed first: no request with it, not even one delayed in the
        network, is ever dispatched afterwards.
        """
        deadline = asyncio.get_running_loop().time() + OUTCOME_TIMEOUT_S
        stored_workspace = workspace_name(workspace)
        if is_ticket(idempotency_key):
            return await self._ticket_handler.outcome_of(
                stored_workspace, idempotency_key, deadline
            )
        return await self._caller_key_handler.outcome_of(
            stored_workspace, idempotency_key, deadline
        )

    def issue_ticket(self, workspace: str) -> str:
        """Return a new ticket, an idempotency key that only this incarnation may run."""
        now = asyncio.get_running_loop().time()
        return self._issuer.issue(workspace_name(workspace), now)

    async def close(self, now: float) -> bool:
        """Shut down gracefully; return whether the shutdown row is written."""
        return await self._shutdown.close(now)

    def _key_missing_refusal(self, request: CallerRequest) -> Outcome:
        refusal = Refusal.not_run(Reason.IDEMPOTENCY_KEY_MISSING, "an idempotency key is needed")
        ticket = self.issue_ticket(workspace_name(request.workspace))
        return Error(msgspec.structs.replace(refusal, ticket=ticket))

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._entries.remove_expired(asyncio.get_running_loop().time())
