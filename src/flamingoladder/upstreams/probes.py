"""Probes the health and load of targets, with one task per target.

Two hosts probe each target and send the replies to the others. A host that has received no reply
for ``PEER_REPLY_TTL_S`` probes the target itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.upstreams.messages import ProbeReplies
from flamingoladder.upstreams.messages import TargetProbeReply
from flamingoladder.upstreams.probe_messages import parse_probe
from flamingoladder.upstreams.prober_selection import probers_of
from flamingoladder.upstreams.stall_watchdog import HEALTH_PATH
from flamingoladder.upstreams.targets import declared_targets

if TYPE_CHECKING:
    from collections.abc import Callable
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
PROBE_INTERVAL_S = 2.0  # a drain has to be detected within seconds
PROBE_TIMEOUT_S = 1.0
PEER_REPLY_TTL_S = 3 * PROBE_INTERVAL_S


class TargetProbes:
    """Runs one probe task for each declared target.

    ``on_unanswered`` is called with the name of a target that gave this host or another one no
    answer at all.
    """

    __slots__ = (
        "_assigned_targets",
        "_health_board",
        "_links",
        "_on_unanswered",
        "_peer_reply_at_by_target",
        "_pools",
        "_random",
        "_recorder",
        "_send_task",
        "_subscription",
        "_tasks_by_key",
        "_unsent_replies",
    )

    def __init__(
        self,
        state: StateInForce,
        pools: TargetPools,
        health_board: HealthBoard,
        links: PeerLinks,
        recorder: Recorder,
        random: Random,
        on_unanswered: Callable[[str], None],
    ) -> None:
        self._assigned_targets: frozenset[str] = frozenset()
        self._links = links
        self._peer_reply_at_by_target: dict[str, float] = {}
        self._unsent_replies: dict[str, ProbeReply] = {}
        self._on_unanswered = on_unanswered
        self._pools = pools
        self._health_board = health_board
        self._recorder = recorder
        self._random = random
        self._tasks_by_key: dict[str, asyncio.Task[None]] = {}
        links.register(ProbeReplies, self._on_replies)
        self._subscription = state.changes.subscribe(self._on_state)
        self._send_task = asyncio.ensure_future(self._send_replies_periodically())

    async def close(self) -> None:
        """Stop all probes."""
        self._subscription.dispose()
        tasks = [self._send_task, *self._tasks_by_key.values()]
        self._tasks_by_key.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_state(self, state: AgreedState) -> None:
        targets = declared_targets(state)
        hosts = state.members_by_host
        self._assigned_targets = frozenset(
            target.name
            for target in targets
            if self._recorder.host in probers_of(target.name, hosts)
        )
        # A target whose address changes gets a new task.
        targets_by_key = {f"{target.name} {target.address}": target for target in targets}
        for removed in self._tasks_by_key.keys() - targets_by_key.keys():
            self._tasks_by_key.pop(removed).cancel()
        for added in targets_by_key.keys() - self._tasks_by_key.keys():
            task = asyncio.ensure_future(self._probe_periodically(targets_by_key[added]))
            self._tasks_by_key[added] = task

    async def _probe_periodically(self, target: DeclaredTarget) -> None:
        await asyncio.sleep(self._random.uniform(0.0, PROBE_INTERVAL_S))
        while True:
            if self._should_probe(target.name, asyncio.get_running_loop().time()):
                await self._probe(target)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _should_probe(self, target: str, now: float) -> bool:
        """Return whether this host is assigned to the target or lacks a recent reply from peers."""
        if target in self._assigned_targets:
            return True
        reply_at = self._peer_reply_at_by_target.get(target)
        return reply_at is None or now - reply_at > PEER_REPLY_TTL_S

    async def _send_replies_periodically(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            self._send_replies()

    def _send_replies(self) -> None:
        """Send the replies received since the last message to all other hosts."""
        replies = tuple(TargetProbeReply(*item) for item in self._unsent_replies.items())
        self._unsent_replies.clear()
        for host in self._links.hosts if replies else ():
            self._links.send(host, ProbeReplies(replies))

    async def _on_replies(self, _peer: Peer, message: ProbeReplies) -> None:
        now = asyncio.get_running_loop().time()
        for entry in message.replies:
            self._peer_reply_at_by_target[entry.target] = now
            self._health_board.of(entry.target).record_probe(entry.reply)
            if not entry.reply.answered:
                self._on_unanswered(entry.target)

    async def _probe(self, target: DeclaredTarget) -> None:
        connections = self._pools.of(target.address)
        health_answer = await connections.get(HEALTH_PATH, PROBE_TIMEOUT_S)
        load_answer = None
        if health_answer is not None:
            load_answer = await connections.get(LOAD_PATH, PROBE_TIMEOUT_S)
        reply = parse_probe(health_answer, load_answer)
        health = self._health_board.of(target.name)
        self._unsent_replies[target.name] = reply
        if (reply.ok, reply.draining) != (health.probe_ok, health.draining):
            self._recorder.record(
                "target.probed", target=target.name, ok=reply.ok, draining=reply.draining
            )
            self._send_replies()
        health.record_probe(reply)
        if not reply.answered:
            self._on_unanswered(target.name)
