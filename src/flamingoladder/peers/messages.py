"""Messages that peer links use for their own health checks."""

from __future__ import annotations

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """A health check of the link; the peer returns it unchanged."""


LinkMessage = Heartbeat
