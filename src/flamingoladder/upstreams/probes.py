"""Asks each target for its health and load, one task a target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.upstreams.probe_messages import read_probe
from flamingoladder.upstreams.silence import HEALTH_PATH
from flamingoladder.upstreams.targets import declared_targets

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.targets import DeclaredTarget
    from flamingoladder.upstreams.targets import TargetPools

LOAD_PATH = "/load"
PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 1.0


class TargetProbes:
    """Keeps one probing task for each declared target."""

    __slots__ = ("_board", "_pools", "_random", "_recorder", "_subscription", "_tasks_by_target")

    def __init__(
        self,
        state: StateInForce,
        pools: TargetPools,
        board: HealthBoard,
        recorder: Recorder,
        random: Random,
    ) -> None:
        self._pools = pools
        self._board = board
        self._recorder = recorder
        self._random = random
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}
        self._subscription = state.changes.subscribe(self._follow)

    async def close(self) -> None:
        """Stop all probes."""
        self._subscription.dispose()
        tasks = list(self._tasks_by_target.values())
        self._tasks_by_target.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _follow(self, state: AgreedState) -> None:
        targets = declared_targets(state)
        keys_by_name = {f"{target.name} {target.address}": target for target in targets}
        for gone in self._tasks_by_target.keys() - keys_by_name.keys():
            self._tasks_by_target.pop(gone).cancel()
        for new in keys_by_name.keys() - self._tasks_by_target.keys():
            probing = asyncio.ensure_future(self._probe_for_good(keys_by_name[new]))
            self._tasks_by_target[new] = probing

    async def _probe_for_good(self, target: DeclaredTarget) -> None:
        await asyncio.sleep(self._random.uniform(0.0, PROBE_INTERVAL_S))
        while True:
            await self._probe(target)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, target: DeclaredTarget) -> None:
        connections = self._pools.of(target.address)
        health_answer = await connections.get(HEALTH_PATH, PROBE_TIMEOUT_S)
        load_answer = None
        if health_answer is not None:
            load_answer = await connections.get(LOAD_PATH, PROBE_TIMEOUT_S)
        reply = read_probe(health_answer, load_answer)
        health = self._board.of(target.name)
        if (reply.ok, reply.draining) != (health.probe_ok, health.draining):
            self._recorder.record(
                "target.probed", target=target.name, ok=reply.ok, draining=reply.draining
            )
        health.observe_probe(reply)
