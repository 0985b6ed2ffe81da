"""Messages between hosts about upstream targets."""

from __future__ import annotations

import msgspec

from flamingoladder.upstreams.probe_messages import ProbeReply


class CrashReport(msgspec.Struct, frozen=True, tag="crash_sighting"):
    """A report that the sender lost ``target`` while it ran the request with ``digest``."""

    workspace: str | None
    service: str
    route: str
    digest: str
    target: str


class TargetProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """The latest reply of ``target`` to the sender's probes."""

    target: str
    reply: ProbeReply


class ProbeReplies(msgspec.Struct, frozen=True, tag="probes_seen"):
    """The probe replies that the sender received since its last message."""

    replies: tuple[TargetProbeReply, ...] = msgspec.field(name="seen")


UpstreamMessage = CrashReport | ProbeReplies
