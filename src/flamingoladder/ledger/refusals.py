"""Refusals that the ledger returns to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.verdict import Outcome

RETRY_AFTER_S = 1.0
EARLIER_REQUEST_IN_DOUBT = "an earlier request with this key may have run"


def not_run(reason: Reason, detail: str) -> Outcome:
    """Return a refusal of a request that has not run and never will."""
    return Error(Refusal.not_run(reason, detail))


def may_have_run(reason: Reason, detail: str, retry_after_s: float | None = None) -> Outcome:
    """Return a refusal of a request whose outcome is unknown, or not known yet."""
    refusal = Refusal.may_have_run(reason, detail)
    return Error(msgspec.structs.replace(refusal, retry_after_s=retry_after_s))


def unclaimed(reason: Reason, detail: str, fresh_key: bool, fresh_ticket: str) -> Outcome:
    """Return the refusal of a request whose key was not claimed and may have run earlier.

    Only the caller can know that no earlier request with the key is in doubt, and declares it
    with ``fresh_key``. Without that, "not run" might be false for the key, and a ticket would
    allow a second run. ``fresh_ticket`` replaces the key for good. Model guard
    ``not_run_needs_fresh_key``.
    """
    if not fresh_key:
        return may_have_run(reason, f"{detail}; {EARLIER_REQUEST_IN_DOUBT}")
    refusal = Refusal.not_run(reason, detail, RETRY_AFTER_S)
    return Error(msgspec.structs.replace(refusal, ticket=fresh_ticket))


def issued_elsewhere(caller_url: str | None) -> Outcome:
    """Return the refusal of an unused ticket of another host, reached at ``caller_url``."""
    refusal = Refusal.not_run(Reason.CLAIM_HELD, "only the host that issued the ticket can run it")
    hosts = (caller_url,) if caller_url else ()
    return Error(msgspec.structs.replace(refusal, hosts=hosts))


def issuer_shut_down(fresh_ticket: str) -> Outcome:
    """Return the refusal of an unused ticket whose issuer has shut down gracefully.

    ``fresh_ticket`` replaces it.
    """
    refusal = Refusal.not_run(Reason.TICKET_INVALID, "the ticket's issuer has ended")
    return Error(msgspec.structs.replace(refusal, ticket=fresh_ticket))


def store_unavailable() -> Outcome:
    """Return the refusal of an outcome query that needs the table while it can't be read."""
    return may_have_run(
        Reason.CLAIM_STORE_UNAVAILABLE, "the store can't be read at present", RETRY_AFTER_S
    )


def key_reused() -> Outcome:
    """Return the refusal of a request whose key belongs to a different request."""
    return not_run(
        Reason.IDEMPOTENCY_KEY_REUSED, "another request has been made with this idempotency key"
    )


def key_closed() -> Outcome:
    """Return the refusal of a request whose key was closed by an outcome query."""
    return not_run(
        Reason.IDEMPOTENCY_KEY_REUSED, "this idempotency key has been closed without a run"
    )


def in_progress() -> Outcome:
    """Return the refusal of a repeat whose first request is still in progress."""
    return may_have_run(
        Reason.CLAIM_HELD, "an earlier request with this key is in progress", RETRY_AFTER_S
    )


def lost_row_in_doubt() -> Outcome:
    """Return the refusal of a key whose row the store may have lost."""
    return may_have_run(
        Reason.CLAIM_STORE_UNAVAILABLE, "the store may have lost this key's claim", RETRY_AFTER_S
    )


def owner_unreachable() -> Outcome:
    """Return the refusal of a repeat when the host that holds the key does not reply."""
    return may_have_run(
        Reason.CLAIM_OWNER_UNREACHABLE, "the host that holds this key can't be asked", RETRY_AFTER_S
    )
