"""The declared targets and their connection pools."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.config.agreed import DrainKind
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.upstreams.connections import TargetConnections

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.config.model import Target

MIN_CONNECTIONS_PER_HOST = 2


class DeclaredTarget(msgspec.Struct, frozen=True):
    """A target of the configuration; ``name`` is ``service/target``.

    ``connections`` is this host's share of the target's connection limit for all hosts.
    """

    name: str
    service: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    drained: bool


def declared_targets(state: AgreedState) -> tuple[DeclaredTarget, ...]:
    """Return all targets of all services."""
    drains = {(drain.kind, drain.name) for drain in state.drains}
    deployment = state.deployment
    targets = []
    for service, declared in deployment.services.items():
        for target_name, target in declared.targets.items():
            name = f"{service}/{target_name}"
            drained = (DrainKind.TARGET, name) in drains
            drained |= (DrainKind.FAILURE_DOMAIN, target.failure_domain) in drains
            targets.append(
                DeclaredTarget(
                    name,
                    service,
                    target.address,
                    deployment.region_of(target.failure_domain),
                    target.failure_domain,
                    deployment.slots_of(target),
                    _connections_per_host(state, target),
                    drained,
                )
            )
    return tuple(targets)


def _connections_per_host(state: AgreedState, target: Target) -> int:
    declared = target.connections or state.deployment.defaults.target_connections
    return max(MIN_CONNECTIONS_PER_HOST, declared // max(1, len(state.members)))


class TargetPools:
    """Connection pools by address, created at first use; they share a bound on answers."""

    __slots__ = ("_by_address", "_limits_by_address", "_memory", "_subscription", "_tasks")

    def __init__(self, state: StateInForce, memory: MemoryBudget | None = None) -> None:
        self._by_address: dict[str, TargetConnections] = {}
        self._limits_by_address: dict[str, int] = {}
        self._memory = memory or MemoryBudget()
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscription = state.changes.subscribe(self._on_state)

    def of(self, address: str) -> TargetConnections:
        """Return the connections to ``address``."""
        connections = self._by_address.get(address)
        if connections is None:
            limit = self._limits_by_address.get(address, 1)
            connections = TargetConnections(address, limit, self._memory)
            self._by_address[address] = connections
        return connections

    async def close(self) -> None:
        """Close each connection when its request ends."""
        self._subscription.dispose()
        for connections in self._by_address.values():
            await connections.close()
        self._by_address.clear()

    def _on_state(self, state: AgreedState) -> None:
        targets = declared_targets(state)
        self._limits_by_address = {target.address: target.connections for target in targets}
        for address in self._by_address.keys() - self._limits_by_address.keys():
            self._close_in_background(self._by_address.pop(address))

    def _close_in_background(self, connections: TargetConnections) -> None:
        task = asyncio.ensure_future(connections.close())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
