"""Messages between hosts about upstream targets."""

from __future__ import annotations

import msgspec

from flamingoladder.upstreams.probe_messages import ProbeReply


class CrashSighting(msgspec.Struct, frozen=True, tag="crash_sighting"):
    """The sender lost ``target`` while it ran the request; ``digest`` is the request's."""

    workspace: str | None
    service: str
    route: str
    digest: str
    target: str


class TargetSeen(msgspec.Struct, frozen=True, array_like=True):
    """What ``target`` last said of itself to the sender."""

    target: str
    reply: ProbeReply


class ProbesSeen(msgspec.Struct, frozen=True, tag="probes_seen"):
    """What the sender's probes found since its last message."""

    seen: tuple[TargetSeen, ...]


UpstreamMessage = CrashSighting | ProbesSeen
