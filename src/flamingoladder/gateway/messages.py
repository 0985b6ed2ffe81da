"""JSON bodies of the system's own paths, and the event of a completed request."""

from __future__ import annotations

import msgspec

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict


class TicketReply(msgspec.Struct, frozen=True):
    """Response with a ticket, an idempotency key.

    Only this incarnation of the host may run the request that is sent with it.
    """

    ticket: str


class Health(msgspec.Struct, frozen=True):
    """Result of a health check; ``detail`` gives the reason if ``ok`` is False."""

    ok: bool
    detail: str


class RequestCompleted(msgspec.Struct, frozen=True):
    """Event of a completed request under ``/services/``; ``reason`` is None if it was answered.

    ``service`` is None if the service is unknown.
    """

    service: str | None
    verdict: Verdict
    reason: Reason | None
    duration_s: float
