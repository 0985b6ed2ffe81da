"""Tests of the peer codec."""

from __future__ import annotations

import pytest

from flamingoladder.freshness.messages import VouchRequest
from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.envelope import decode
from flamingoladder.peers.envelope import encode
from flamingoladder.peers.exceptions import PeerMessageError

FRAME = encode(Envelope("h1", "i1", 1, 2, VouchRequest(7)))


def test_round_trip() -> None:
    assert decode(FRAME).body == VouchRequest(7)


@pytest.mark.parametrize("frame", [b"", FRAME[:-1], FRAME[: len(FRAME) // 2], b"\xc1", b"\x90"])
def test_damaged_frame_is_rejected(frame: bytes) -> None:
    with pytest.raises(PeerMessageError):
        decode(frame)
