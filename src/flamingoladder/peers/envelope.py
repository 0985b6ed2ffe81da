"""The encoding of messages between entry hosts."""

from __future__ import annotations

import msgspec

from flamingoladder.freshness.messages import FreshnessMessage
from flamingoladder.ledger.messages import LedgerMessage
from flamingoladder.peers.exceptions import PeerMessageError
from flamingoladder.peers.messages import LinkMessage
from flamingoladder.shares.messages import SharesMessage
from flamingoladder.steering.messages import SteeringMessage
from flamingoladder.timeline.messages import TimelineMessage
from flamingoladder.upstreams.messages import UpstreamMessage

Body = (
    FreshnessMessage
    | LedgerMessage
    | LinkMessage
    | SharesMessage
    | SteeringMessage
    | TimelineMessage
    | UpstreamMessage
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its origin.

    ``question`` numbers a question of the sender, so that its reply finds it; 0 asks for no reply.
    ``clock`` is the sender's hybrid clock. A reply without content has no ``body``.
    """

    host: str
    incarnation: str
    question: int
    clock: int
    body: Body | None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the envelope as MessagePack."""
    return _encoder.encode(envelope)


def decode(frame: bytes) -> Envelope:
    """Return the envelope in ``frame``.

    :raises PeerMessageError: if the frame is truncated or not an envelope.
    """
    try:
        return _decoder.decode(frame)
    except msgspec.DecodeError as error:
        raise PeerMessageError(f"peer message of {len(frame)} bytes: {error}") from error
