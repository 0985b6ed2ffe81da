"""Messages between hosts about upstream targets."""

from __future__ import annotations

import msgspec

from flamingoladder.poison.messages import PoisonMessage
from flamingoladder.upstreams.probe_messages import ProbeReply


class TargetProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """The latest reply of ``target`` to the sender's probes."""

    target: str
    reply: ProbeReply


class ProbeReplies(msgspec.Struct, frozen=True, tag="probes_seen"):
    """The probe replies that the sender received since its last message."""

    replies: tuple[TargetProbeReply, ...] = msgspec.field(name="seen")


UpstreamMessage = PoisonMessage | ProbeReplies
