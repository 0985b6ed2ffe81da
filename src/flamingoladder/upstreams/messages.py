"""Messages between hosts about upstream targets."""

from __future__ import annotations

import msgspec


class CrashSighting(msgspec.Struct, frozen=True, tag="crash_sighting"):
    """The sender lost ``target`` while it ran the request; ``digest`` is the request's."""

    workspace: str | None
    service: str
    route: str
    digest: str
    target: str


UpstreamMessage = CrashSighting
