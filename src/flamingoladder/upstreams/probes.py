"""Asks targets for their health and load, one task a target.

Two hosts probe a target and tell the others. A host that has not been told for a while probes the
target itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.upstreams.messages import ProbesSeen
from flamingoladder.upstreams.messages import TargetSeen
from flamingoladder.upstreams.probe_messages import read_probe
from flamingoladder.upstreams.probers import probers_of
from flamingoladder.upstreams.silence import HEALTH_PATH
from flamingoladder.upstreams.targets import declared_targets

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.probe_messages import ProbeReply
    from flamingoladder.upstreams.targets import DeclaredTarget
    from flamingoladder.upstreams.targets import TargetPools

LOAD_PATH = "/load"
PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 1.0
TOLD_LATELY_S = 3 * PROBE_INTERVAL_S


class TargetProbes:
    """Keeps one probing task for each declared target."""

    __slots__ = (
        "_assigned",
        "_board",
        "_links",
        "_pools",
        "_random",
        "_recorder",
        "_replies_to_tell",
        "_subscription",
        "_tasks_by_target",
        "_telling",
        "_told_at_by_target",
    )

    def __init__(
        self,
        state: StateInForce,
        pools: TargetPools,
        board: HealthBoard,
        links: PeerLinks,
        recorder: Recorder,
        random: Random,
    ) -> None:
        self._assigned: frozenset[str] = frozenset()
        self._links = links
        self._told_at_by_target: dict[str, float] = {}
        self._replies_to_tell: dict[str, ProbeReply] = {}
        self._pools = pools
        self._board = board
        self._recorder = recorder
        self._random = random
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}
        links.register(ProbesSeen, self._take_in)
        self._subscription = state.changes.subscribe(self._follow)
        self._telling = asyncio.ensure_future(self._tell_for_good())

    async def close(self) -> None:
        """Stop all probes."""
        self._subscription.dispose()
        tasks = [self._telling, *self._tasks_by_target.values()]
        self._tasks_by_target.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _follow(self, state: AgreedState) -> None:
        targets = declared_targets(state)
        hosts = state.members_by_host
        self._assigned = frozenset(
            target.name
            for target in targets
            if self._recorder.host in probers_of(target.name, hosts)
        )
        keys_by_name = {f"{target.name} {target.address}": target for target in targets}
        for gone in self._tasks_by_target.keys() - keys_by_name.keys():
            self._tasks_by_target.pop(gone).cancel()
        for new in keys_by_name.keys() - self._tasks_by_target.keys():
            probing = asyncio.ensure_future(self._probe_for_good(keys_by_name[new]))
            self._tasks_by_target[new] = probing

    async def _probe_for_good(self, target: DeclaredTarget) -> None:
        await asyncio.sleep(self._random.uniform(0.0, PROBE_INTERVAL_S))
        while True:
            if self._is_to_probe(target.name, asyncio.get_running_loop().time()):
                await self._probe(target)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _is_to_probe(self, target: str, now: float) -> bool:
        """Return whether this host is to probe the target for all, or for want of others' word."""
        if target in self._assigned:
            return True
        told_at = self._told_at_by_target.get(target)
        return told_at is None or now - told_at > TOLD_LATELY_S

    async def _tell_for_good(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            self._tell()

    def _tell(self) -> None:
        """Tell all other hosts what was found since the last time."""
        seen = tuple(TargetSeen(*item) for item in self._replies_to_tell.items())
        self._replies_to_tell.clear()
        for host in self._links.hosts if seen else ():
            self._links.send(host, ProbesSeen(seen))

    async def _take_in(self, _peer: Peer, message: ProbesSeen) -> None:
        now = asyncio.get_running_loop().time()
        for seen in message.seen:
            self._told_at_by_target[seen.target] = now
            self._board.of(seen.target).observe_probe(seen.reply)

    async def _probe(self, target: DeclaredTarget) -> None:
        connections = self._pools.of(target.address)
        health_answer = await connections.get(HEALTH_PATH, PROBE_TIMEOUT_S)
        load_answer = None
        if health_answer is not None:
            load_answer = await connections.get(LOAD_PATH, PROBE_TIMEOUT_S)
        reply = read_probe(health_answer, load_answer)
        health = self._board.of(target.name)
        self._replies_to_tell[target.name] = reply
        if (reply.ok, reply.draining) != (health.probe_ok, health.draining):
            self._recorder.record(
                "target.probed", target=target.name, ok=reply.ok, draining=reply.draining
            )
            self._tell()
        health.observe_probe(reply)
