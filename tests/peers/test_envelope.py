"""Tests of the codec of peer messages."""

from __future__ import annotations

import zlib

import msgspec
import pytest

from flamingoladder.daemon.peer_messages import PEER_CODEC
from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.peers.envelope import MAX_DECOMPRESSED_BYTES
from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.exceptions import PeerMessageError

LARGE = Envelope("h1", "i1", 1, 2, ConfirmReply(7, True, "i1", ("key",) * 2_000))
FRAME = PEER_CODEC.encode(Envelope("h1", "i1", 1, 2, ConfirmRequest(7)))


def test_round_trip() -> None:
    assert PEER_CODEC.decode(FRAME).body == ConfirmRequest(7)


def test_only_large_bodies_are_compressed_and_read_back() -> None:
    assert PEER_CODEC.encode(Envelope("h1", "i1", 1, 2, ConfirmRequest(7)), compress=True) == FRAME
    plain = PEER_CODEC.encode(LARGE)
    compressed = PEER_CODEC.encode(LARGE, compress=True)
    assert len(compressed) < len(plain) / 2
    assert PEER_CODEC.decode(compressed) == PEER_CODEC.decode(plain) == LARGE


@pytest.mark.parametrize(
    "body",
    [
        b"not compressed",
        zlib.compress(b"damaged " * 200)[:-9],
        zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1)),
        zlib.compress(msgspec.msgpack.encode(zlib.compress(b"twice"))),
    ],
    ids=["plain", "truncated", "too large", "twice"],
)
def test_damaged_compressed_body_is_rejected(body: bytes) -> None:
    frame = msgspec.msgpack.encode(("h1", "i1", 1, 2, body))
    with pytest.raises(PeerMessageError):
        PEER_CODEC.decode(frame)


@pytest.mark.parametrize("frame", [b"", FRAME[:-1], FRAME[: len(FRAME) // 2], b"\xc1", b"\x90"])
def test_damaged_frame_is_rejected(frame: bytes) -> None:
    with pytest.raises(PeerMessageError):
        PEER_CODEC.decode(frame)
