"""Refusals by the ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.verdict import Outcome

ASK_AGAIN_S = 1.0
EARLIER_IN_DOUBT = "an earlier request with this key may have run"


def not_run(reason: Reason, detail: str) -> Outcome:
    """Return a refusal of a request that has not run and never will."""
    return Error(Refusal.not_run(reason, detail))


def may_have_run(reason: Reason, detail: str, retry_after_s: float | None = None) -> Outcome:
    """Return a refusal of a request whose outcome is unknown, perhaps only as yet."""
    refusal = Refusal.may_have_run(reason, detail)
    return Error(msgspec.structs.replace(refusal, retry_after_s=retry_after_s))


def unclaimed(reason: Reason, detail: str, fresh_key: bool, ticket: str) -> Outcome:
    """Return the refusal of a request that was not claimed, with nothing known of its key.

    Only the caller can know that no earlier request with the key is in doubt. Without its word
    for that, "not run" might be false of the key, and a ticket would allow a second run. The
    ticket replaces the key for good. Guard ``not_run_needs_fresh_key``.
    """
    if not fresh_key:
        return may_have_run(reason, f"{detail}; {EARLIER_IN_DOUBT}")
    refusal = Refusal.not_run(reason, detail, ASK_AGAIN_S)
    return Error(msgspec.structs.replace(refusal, ticket=ticket))


def at_issuer(caller_url: str | None) -> Outcome:
    """Return the refusal of an unused ticket that another host has issued."""
    refusal = Refusal.not_run(Reason.CLAIM_HELD, "only the host that issued the ticket can run it")
    hosts = (caller_url,) if caller_url else ()
    return Error(msgspec.structs.replace(refusal, hosts=hosts))


def issuer_closed(ticket: str) -> Outcome:
    """Return the refusal of an unused ticket whose issuer has ended gracefully."""
    refusal = Refusal.not_run(Reason.TICKET_INVALID, "the ticket's issuer has ended")
    return Error(msgspec.structs.replace(refusal, ticket=ticket))


def store_unavailable() -> Outcome:
    """Return the refusal of a question that only the table could answer."""
    return may_have_run(
        Reason.CLAIM_STORE_UNAVAILABLE, "the store can't be read at present", ASK_AGAIN_S
    )


def key_reused() -> Outcome:
    """Return the refusal of a request whose key belongs to a different request."""
    return not_run(
        Reason.IDEMPOTENCY_KEY_REUSED, "another request has been made with this idempotency key"
    )


def key_closed() -> Outcome:
    """Return the refusal of a request whose key was closed by a question for its outcome."""
    return not_run(
        Reason.IDEMPOTENCY_KEY_REUSED, "this idempotency key has been closed without a run"
    )


def in_progress() -> Outcome:
    """Return the refusal of a repeat whose first request is still in progress."""
    return may_have_run(
        Reason.CLAIM_HELD, "an earlier request with this key is in progress", ASK_AGAIN_S
    )


def owner_unreachable() -> Outcome:
    """Return the refusal of a repeat whose first host can't be asked."""
    return may_have_run(
        Reason.CLAIM_OWNER_UNREACHABLE, "the host that holds this key can't be asked", ASK_AGAIN_S
    )
