"""Encoding of messages between entry hosts."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.peers.exceptions import PeerMessageError

# Smaller bodies hardly shrink.
MIN_COMPRESSED_BYTES = 1_024
MAX_DECOMPRESSED_BYTES = 4_194_304
COMPRESSION_LEVEL = 1


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender and request id.

    ``request_id`` is chosen by the requester and returned with the reply; 0 requests no reply.
    ``clock`` is the sender's hybrid logical clock. ``body`` is None in a reply without content.
    """

    host: str
    incarnation: str
    request_id: int = msgspec.field(name="question")
    clock: int
    body: msgspec.Struct | None


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """The wire format of an envelope."""

    host: str
    incarnation: str
    request_id: int
    clock: int
    body: msgspec.Raw


class EnvelopeCodec:
    """Encoder and decoder of envelopes whose body is of ``body_type``, usually a union.

    A compressed body is a byte string on the wire, which no other body is.
    """

    __slots__ = ("_body_decoder", "_encoder", "_frame_decoder")

    def __init__(self, body_type: Any) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = Decoder.of_msgpack(_Frame)
        self._body_decoder = Decoder.of_msgpack(body_type | bytes | None)

    def encode(self, envelope: Envelope, *, compress: bool = False) -> bytes:
        """Return the envelope encoded as MessagePack; ``compress`` holds for large bodies."""
        body = self._encoder.encode(envelope.body)
        if compress and len(body) >= MIN_COMPRESSED_BYTES:
            body = self._encoder.encode(zlib.compress(body, COMPRESSION_LEVEL))
        return self._encoder.encode(
            _Frame(
                envelope.host,
                envelope.incarnation,
                envelope.request_id,
                envelope.clock,
                msgspec.Raw(body),
            )
        )

    def decode(self, frame: bytes) -> Envelope:
        """Return the envelope decoded from ``frame``.

        :raises PeerMessageError: if the frame is truncated or is not an envelope.
        """
        try:
            decoded = self._frame_decoder.decode(frame)
            body = self._body_decoder.decode(decoded.body)
            if isinstance(body, bytes):
                body = self._body_decoder.decode(_decompressed(body))
        except (MalformedValueError, zlib.error) as error:
            raise PeerMessageError(f"peer message of {len(frame)} bytes: {error}") from error
        if isinstance(body, bytes):
            raise PeerMessageError(f"peer message of {len(frame)} bytes: compressed twice")
        return Envelope(decoded.host, decoded.incarnation, decoded.request_id, decoded.clock, body)


def _decompressed(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    found = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise zlib.error("incomplete or too large")
    return found
