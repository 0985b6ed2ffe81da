"""All messages that the slices of two entry hosts exchange."""

from __future__ import annotations

from flamingoladder.fleet.messages import HostReport
from flamingoladder.freshness.messages import FreshnessMessage
from flamingoladder.ledger.messages import LedgerMessage
from flamingoladder.peers.envelope import EnvelopeCodec
from flamingoladder.peers.messages import LinkMessage
from flamingoladder.steering.messages import SteeringMessage
from flamingoladder.timeline.messages import TimelineMessage
from flamingoladder.upstreams.messages import UpstreamMessage

PEER_CODEC = EnvelopeCodec(
    FreshnessMessage
    | HostReport
    | LedgerMessage
    | LinkMessage
    | SteeringMessage
    | TimelineMessage
    | UpstreamMessage
)
