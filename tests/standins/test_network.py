"""Tests of the in-process network, on injected time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network

if TYPE_CHECKING:
    import msgspec

    from flamingoladder.peers.link import Peer


async def _vouch(peer: Peer, message: ConfirmRequest) -> msgspec.Struct:
    return ConfirmReply(message.version, peer.host == "h1")


def test_ask_takes_a_round_trip_and_a_cut_takes_the_timeout() -> None:
    async def scenario() -> list[tuple[msgspec.Struct | None, float]]:
        network = Network(Random(1), delay_s=0.02)
        first = network.join("h1", "i1")
        network.join("h2", "i2").register(ConfirmRequest, _vouch)
        loop = asyncio.get_running_loop()
        seen = [(await first.request("h2", ConfirmRequest(3), 1.0), loop.time())]
        network.cuts.add(("h2", "h1"))
        seen.append((await first.request("h2", ConfirmRequest(3), 1.0), loop.time()))
        return seen

    answered, cut = run_on_injected_time(scenario())
    assert answered[0] == ConfirmReply(3, True)
    assert round(answered[1], 6) == 0.04
    assert cut[0] is None
    assert round(cut[1], 6) == 1.04
