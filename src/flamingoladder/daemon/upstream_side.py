"""Builds what stands between the ledger and the upstream targets."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING

from flamingoladder.poison.detector import PoisonDetector
from flamingoladder.poison.evidence import EvidenceKeeper
from flamingoladder.poison.exchange import LinkPoisonExchange
from flamingoladder.poison.upkeep import PoisonUpkeep
from flamingoladder.steering.slot_chooser import SlotChooser
from flamingoladder.supervision import supervised
from flamingoladder.upstreams.dispatcher import UpstreamDispatcher
from flamingoladder.upstreams.health import HealthBoard
from flamingoladder.upstreams.notices import UpstreamNotices
from flamingoladder.upstreams.poison_watch import PoisonWatch
from flamingoladder.upstreams.probes import TargetProbes
from flamingoladder.upstreams.targets import TargetPools

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.dispatch_check import DispatchCheck
    from flamingoladder.members.member import Member
    from flamingoladder.memory.budget import MemoryBudget
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder


class UpstreamSide:
    """The dispatcher of one host with its connections and probes."""

    __slots__ = ("_chooser", "_pools", "_probes", "_tasks", "dispatcher")

    def __init__(
        self,
        dispatcher: UpstreamDispatcher,
        chooser: SlotChooser,
        pools: TargetPools,
        probes: TargetProbes,
        poison_upkeep: PoisonUpkeep,
        evidence_keeper: EvidenceKeeper,
        recorder: Recorder,
    ) -> None:
        self.dispatcher = dispatcher
        self._chooser = chooser
        self._pools = pools
        self._probes = probes
        works = {"poison": poison_upkeep.run, "evidence": evidence_keeper.run}
        self._tasks = [
            asyncio.create_task(supervised(name, work, recorder)) for name, work in works.items()
        ]

    @classmethod
    def from_config(
        cls,
        own: Member,
        state: StateInForce,
        permission: DispatchCheck,
        links: PeerLinks,
        table: TableService,
        recorder: Recorder,
        memory: MemoryBudget,
    ) -> UpstreamSide:
        """Return the upstream side of ``own``; probes start with the first state."""
        board = HealthBoard()
        pools = TargetPools(state, memory)
        random = Random()
        chooser = SlotChooser(own, state, links, recorder, board, random)
        exchange = LinkPoisonExchange(links)
        detector = PoisonDetector(exchange, recorder, asyncio.get_running_loop().time)
        poison_watch = PoisonWatch(detector, state)
        dispatcher = UpstreamDispatcher(
            state=state,
            chooser=chooser,
            pools=pools,
            poison_watch=poison_watch,
            notices=UpstreamNotices(board, state, recorder),
            permission=permission,
            recorder=recorder,
        )
        probes = TargetProbes(
            state, pools, board, links, recorder, random, poison_watch.target_silent
        )
        keeper = EvidenceKeeper(detector, table, time.time, recorder)
        upkeep = PoisonUpkeep(
            detector,
            exchange,
            lambda: tuple(links.hosts) if state.current else None,
            keeper.restored,
            recorder,
        )
        return cls(dispatcher, chooser, pools, probes, upkeep, keeper, recorder)

    async def close(self) -> None:
        """Stop the probes and close all connections."""
        for task in self._tasks:
            task.cancel()
        self._chooser.close()
        await self._probes.close()
        await self._pools.close()
