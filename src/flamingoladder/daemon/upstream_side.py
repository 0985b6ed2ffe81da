"""Builds what stands between the ledger and the upstream targets."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from flamingoladder.steering.slot_chooser import SlotChooser
from flamingoladder.upstreams.crash_guard import CrashGuard
from flamingoladder.upstreams.dispatcher import UpstreamDispatcher
from flamingoladder.upstreams.health import HealthBoard
from flamingoladder.upstreams.notices import UpstreamNotices
from flamingoladder.upstreams.probes import TargetProbes
from flamingoladder.upstreams.targets import TargetPools

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.dispatch_check import DispatchCheck
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.recorder import Recorder


class UpstreamSide:
    """The dispatcher of one host with its connections and probes."""

    __slots__ = ("_chooser", "_pools", "_probes", "dispatcher")

    def __init__(
        self,
        dispatcher: UpstreamDispatcher,
        chooser: SlotChooser,
        pools: TargetPools,
        probes: TargetProbes,
    ) -> None:
        self.dispatcher = dispatcher
        self._chooser = chooser
        self._pools = pools
        self._probes = probes

    @classmethod
    def from_config(
        cls,
        own: Member,
        state: StateInForce,
        permission: DispatchCheck,
        links: PeerLinks,
        recorder: Recorder,
    ) -> UpstreamSide:
        """Return the upstream side of ``own``; probes start with the first state."""
        board = HealthBoard()
        pools = TargetPools(state)
        random = Random()
        chooser = SlotChooser(own, state, links, recorder, board, random)
        dispatcher = UpstreamDispatcher(
            state=state,
            chooser=chooser,
            pools=pools,
            guard=CrashGuard(links),
            notices=UpstreamNotices(board, state, recorder),
            permission=permission,
            recorder=recorder,
        )
        probes = TargetProbes(state, pools, board, links, recorder, random)
        return cls(dispatcher, chooser, pools, probes)

    async def close(self) -> None:
        """Stop the probes and close all connections."""
        self._chooser.close()
        await self._probes.close()
        await self._pools.close()
