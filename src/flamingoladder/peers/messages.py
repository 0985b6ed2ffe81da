"""Messages of the links themselves."""

from __future__ import annotations

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Asks for any reply, as proof that the link is alive."""


LinkMessage = Heartbeat
