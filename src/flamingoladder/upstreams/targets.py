"""The declared targets, and the connections to each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.config.agreed import DrainKind
from flamingoladder.upstreams.connections import TargetConnections

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.config.model import Target

MIN_CONNECTIONS = 2


class DeclaredTarget(msgspec.Struct, frozen=True):
    """A target as declared; ``name`` is ``service/target``.

    ``connections`` is this host's part of those that the target takes from all hosts together.
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
    found = []
    for service, declared in deployment.services.items():
        for short_name, target in declared.targets.items():
            name = f"{service}/{short_name}"
            drained = (DrainKind.TARGET, name) in drains
            drained |= (DrainKind.FAILURE_DOMAIN, target.failure_domain) in drains
            found.append(
                DeclaredTarget(
                    name,
                    service,
                    target.address,
                    deployment.region_of(target.failure_domain),
                    target.failure_domain,
                    deployment.slots_of(target),
                    _connections(state, target),
                    drained,
                )
            )
    return tuple(found)


def _connections(state: AgreedState, target: Target) -> int:
    declared = target.connections or state.deployment.defaults.target_connections
    return max(MIN_CONNECTIONS, declared // max(1, len(state.members)))


class TargetPools:
    """The connections to each address, opened at first use."""

    __slots__ = ("_by_address", "_limits_by_address", "_subscription", "_tasks")

    def __init__(self, state: StateInForce) -> None:
        self._by_address: dict[str, TargetConnections] = {}
        self._limits_by_address: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscription = state.changes.subscribe(self._follow)

    def of(self, address: str) -> TargetConnections:
        """Return the connections to ``address``."""
        connections = self._by_address.get(address)
        if connections is None:
            connections = TargetConnections(address, self._limits_by_address.get(address, 1))
            self._by_address[address] = connections
        return connections

    async def close(self) -> None:
        """Close all connections as their requests end."""
        self._subscription.dispose()
        for connections in self._by_address.values():
            await connections.close()
        self._by_address.clear()

    def _follow(self, state: AgreedState) -> None:
        targets = declared_targets(state)
        self._limits_by_address = {target.address: target.connections for target in targets}
        for address in self._by_address.keys() - self._limits_by_address.keys():
            self._close_later(self._by_address.pop(address))

    def _close_later(self, connections: TargetConnections) -> None:
        task = asyncio.ensure_future(connections.close())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
