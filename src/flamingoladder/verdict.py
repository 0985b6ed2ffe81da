"""The outcome of a request: a whole answer, or a refusal that says whether it may have run."""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

import msgspec
from expression import Result


class Verdict(StrEnum):
    """Whether an upstream may have run the request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class Reason(StrEnum):
    """Stable reason codes of refusals."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BODY_INCOMPLETE = "body_incomplete"
    NO_MEMORY = "no_memory"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    NO_PROOF = "no_proof"
    RATE_EXCEEDED = "rate_exceeded"
    NO_CAPACITY = "no_capacity"
    LINK_BUDGET = "link_budget"
    DEADLINE_PASSED = "deadline_passed"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    CLAIM_STORE_UNAVAILABLE = "claim_store_unavailable"
    CLAIM_HELD = "claim_held"
    CLAIM_OWNER_UNREACHABLE = "claim_owner_unreachable"
    TICKET_INVALID = "ticket_invalid"
    REQUEST_CRASHES_UPSTREAMS = "request_crashes_upstreams"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_SILENT = "upstream_silent"
    ANSWER_NOT_KEPT = "answer_not_kept"
    ANSWER_TOO_LARGE = "answer_too_large"
    HOST_LEAVING = "host_leaving"
    HOST_LOST = "host_lost"
    HOST_UNREACHABLE = "host_unreachable"
    INTERNAL_ERROR = "internal_error"


class Header(msgspec.Struct, frozen=True):
    """One HTTP header field."""

    name: str
    value: str


class Answer(msgspec.Struct, frozen=True, weakref=True):
    """The whole answer of an upstream."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Refusal(msgspec.Struct, frozen=True, omit_defaults=True):
    """A refusal of the system itself.

    ``verdict`` is ``NOT_RUN`` only where no byte of the request can have left for an upstream, or
    where the upstream said by its shed marker that it did not run it.
    ``retry_after_s`` is in seconds. ``hosts`` names other entry hosts (base URLs) to try.
    ``ticket`` is a ticket that the caller may use as the idempotency key of a repeat.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    hosts: tuple[str, ...] = ()
    ticket: str | None = None

    @classmethod
    def not_run(cls, reason: Reason, detail: str, retry_after_s: float | None = None) -> Refusal:
        """Return a refusal of a request that no upstream has seen."""
        return cls(Verdict.NOT_RUN, reason, detail, retry_after_s)

    @classmethod
    def may_have_run(cls, reason: Reason, detail: str) -> Refusal:
        """Return a refusal of a request whose outcome is unknown."""
        return cls(Verdict.MAY_HAVE_RUN, reason, detail)


Outcome: TypeAlias = Result[Answer, Refusal]
