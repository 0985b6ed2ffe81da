"""JSON bodies of the gateway's own paths, and its notices."""

from __future__ import annotations

import msgspec

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict


class TicketReply(msgspec.Struct, frozen=True):
    """A ticket that only this incarnation of the host may run."""

    ticket: str


class Health(msgspec.Struct, frozen=True):
    """Whether the host is well, and why not."""

    ok: bool
    detail: str


class RequestEnded(msgspec.Struct, frozen=True):
    """A request under ``/services/`` has its outcome; ``reason`` is None if it was answered.

    ``service`` is None if there is no such service.
    """

    service: str | None
    verdict: Verdict
    reason: Reason | None
    duration_s: float
