"""The encoding of messages between entry hosts."""

from __future__ import annotations

from typing import Any

import msgspec

from flamingoladder.peers.exceptions import PeerMessageError


class Envelope(msgspec.Struct, frozen=True):
    """A message with its origin.

    ``question`` numbers a question of the sender, so that its reply finds it; 0 asks for no reply.
    ``clock`` is the sender's hybrid clock. A reply without content has no ``body``.
    """

    host: str
    incarnation: str
    question: int
    clock: int
    body: msgspec.Struct | None


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """An envelope as it is sent."""

    host: str
    incarnation: str
    question: int
    clock: int
    body: msgspec.Raw


class EnvelopeCodec:
    """Encodes and decodes envelopes whose bodies are of the types in ``bodies``, a union."""

    __slots__ = ("_body_decoder", "_encoder", "_frame_decoder")

    def __init__(self, bodies: Any) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(_Frame)
        self._body_decoder: msgspec.msgpack.Decoder[msgspec.Struct | None] = (
            msgspec.msgpack.Decoder(bodies | None)
        )

    def encode(self, envelope: Envelope) -> bytes:
        """Return the envelope as MessagePack."""
        return self._encoder.encode(
            _Frame(
                envelope.host,
                envelope.incarnation,
                envelope.question,
                envelope.clock,
                msgspec.Raw(self._encoder.encode(envelope.body)),
            )
        )

    def decode(self, frame: bytes) -> Envelope:
        """Return the envelope in ``frame``.

        :raises PeerMessageError: if the frame is truncated or not an envelope.
        """
        try:
            found = self._frame_decoder.decode(frame)
            body = self._body_decoder.decode(found.body)
        except msgspec.DecodeError as error:
            raise PeerMessageError(f"peer message of {len(frame)} bytes: {error}") from error
        return Envelope(found.host, found.incarnation, found.question, found.clock, body)
