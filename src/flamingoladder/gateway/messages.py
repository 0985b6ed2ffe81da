"""JSON bodies of the gateway's own paths."""

from __future__ import annotations

import msgspec


class TicketReply(msgspec.Struct, frozen=True):
    """A ticket that only this incarnation of the host may run."""

    ticket: str


class Health(msgspec.Struct, frozen=True):
    """Whether the host is well, and why not."""

    ok: bool
    detail: str
