"""Messages between hosts about claims of non-idempotent requests."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from flamingoladder.ledger.rows import StoredOutcome


class ClaimStatus(StrEnum):
    """What the holder of a claim says of it.

    ``NEVER`` is a promise: the claim has not been dispatched and never will be. ``GONE`` means
    that the incarnation asked about has ended, or no longer remembers.
    """

    IN_PROGRESS = "in_progress"
    DONE = "done"
    NEVER = "never"
    GONE = "gone"


class ClaimQuestion(msgspec.Struct, frozen=True, tag="claim_question"):
    """Asks the incarnation that wrote attempt ``attempt`` into claim row ``name`` about it.

    The reply may be held back up to ``wait_s`` seconds while the request is in progress.
    """

    name: str
    incarnation: str
    attempt: int
    wait_s: float


class TicketQuestion(msgspec.Struct, frozen=True, tag="ticket_question"):
    """Asks the incarnation that issued ``ticket`` about it.

    The reply may be held back up to ``wait_s`` seconds while the request is in progress. With
    ``close`` set, a ticket that has not been used is closed before the reply says ``NEVER``.
    """

    workspace: str
    ticket: str
    wait_s: float
    close: bool


class ClaimReply(msgspec.Struct, frozen=True, tag="claim_reply"):
    """The holder's word, with the digest of the request and its outcome once there is one."""

    word: ClaimStatus
    digest: str = ""
    outcome: StoredOutcome | None = None


LedgerMessage = ClaimQuestion | TicketQuestion | ClaimReply
