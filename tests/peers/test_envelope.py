"""Tests of the codec of peer messages."""

from __future__ import annotations

import pytest

from flamingoladder.daemon.peer_messages import PEER_CODEC
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.exceptions import PeerMessageError

FRAME = PEER_CODEC.encode(Envelope("h1", "i1", 1, 2, ConfirmRequest(7)))


def test_round_trip() -> None:
    assert PEER_CODEC.decode(FRAME).body == ConfirmRequest(7)


@pytest.mark.parametrize("frame", [b"", FRAME[:-1], FRAME[: len(FRAME) // 2], b"\xc1", b"\x90"])
def test_damaged_frame_is_rejected(frame: bytes) -> None:
    with pytest.raises(PeerMessageError):
        PEER_CODEC.decode(frame)
