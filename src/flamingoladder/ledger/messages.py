"""Messages between hosts about claims of non-idempotent requests."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from flamingoladder.ledger.rows import StoredOutcome


class ClaimStatus(StrEnum):
    """The status of a claim, as reported by its holder.

    ``NEVER_RUN`` means that the claim has not been dispatched and never will be, or that its row
    has changed since the querying host read it; for a ticket, that it has not run, and never will
    if the query has ``close`` set. ``UNKNOWN`` means that the incarnation in question has ended or
    has removed its entry.
    """

    IN_PROGRESS = "in_progress"
    DONE = "done"
    NEVER_RUN = "never"
    UNKNOWN = "gone"


class ClaimQuery(msgspec.Struct, frozen=True, tag="claim_question"):
    """A query for the status of attempt ``attempt`` to claim the row ``row_key``.

    It goes to the incarnation that wrote the row. The reply may be delayed up to
    ``wait_s`` seconds while the request is in progress.
    """

    row_key: str = msgspec.field(name="name")
    incarnation: str
    attempt: int
    wait_s: float


class TicketQuery(msgspec.Struct, frozen=True, tag="ticket_question"):
    """A query for the status of ``ticket``, sent to the incarnation that issued it.

    The reply may be delayed up to ``wait_s`` seconds while the request is in progress. With
    ``close`` set, a ticket that has not been used is closed before the reply
    ``NEVER_RUN`` is sent.
    """

    workspace: str
    ticket: str
    wait_s: float
    close: bool


class ClaimReply(msgspec.Struct, frozen=True, tag="claim_reply"):
    """The status of a claim or ticket, with the request's digest, and its outcome when done."""

    status: ClaimStatus = msgspec.field(name="word")
    digest: str = ""
    outcome: StoredOutcome | None = None


class EraQuery(msgspec.Struct, frozen=True, tag="era_question"):
    """Asks whether the receiver has written its rows again in the store's era ``era``."""

    era: int


class EraReply(msgspec.Struct, frozen=True, tag="era_answer"):
    """The newest era in which the sender has written its rows again for good.

    It writes nothing any more by what it read before ``known_era``. ``settled_era`` is the newest
    in which absent rows are free, 0 before the first. The sender ``remembers`` all its rows that
    the store may have lost if it ran when they were written.
    """

    restored_era: int
    settled_era: int
    remembers: bool
    known_era: int = 0


LedgerMessage = ClaimQuery | TicketQuery | ClaimReply | EraQuery | EraReply
