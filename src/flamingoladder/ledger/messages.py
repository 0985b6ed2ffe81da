"""Messages between hosts about claims of non-idempotent requests."""

from __future__ import annotations

import msgspec


class OutcomeQuestion(msgspec.Struct, frozen=True, tag="outcome_question"):
    """Asks the incarnation that holds a claim what became of it."""

    workspace: str
    idempotency_key: str


class OutcomeReply(msgspec.Struct, frozen=True, tag="outcome_reply"):
    """What the holder knows: an encoded outcome, or None while the request is in progress."""

    outcome: bytes | None


LedgerMessage = OutcomeQuestion | OutcomeReply
