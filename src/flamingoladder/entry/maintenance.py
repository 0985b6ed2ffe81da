"""What an entry host does at intervals, apart from requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.entry.components import EntryComponents
    from flamingoladder.memory.caller_connections import CallerConnections

INTERVAL_S = 0.25
# Each takes 1 to 2 ms, so all take about a twentieth of the interval.
HOME_STEPS_PER_INTERVAL = 8


class Maintenance:
    """Expires targets, corrects homes, bounds callers' connections, and forgets lost hosts."""

    __slots__ = ("_components", "_connections")

    def __init__(self, components: EntryComponents, connections: CallerConnections) -> None:
        self._components = components
        self._connections = connections

    async def run(self) -> None:
        """Do all of it periodically until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(INTERVAL_S)
            now = loop.time()
            self._components.targets.expire(now)
            await self._correct_homes()
            self._bound_connections(now)
            await self._forget_lost_hosts(now)

    async def _correct_homes(self) -> None:
        """Take some steps, each in a turn of the event loop of its own."""
        for _ in range(HOME_STEPS_PER_INTERVAL):
            if not self._components.balancer.correct_homes():
                return
            await asyncio.sleep(0)

    def _bound_connections(self, now: float) -> None:
        components, connections = self._components, self._connections
        components.memory.measure_rest()
        connections.expect_peers(components.members.host_count)
        if components.configuration.routing is not None:
            limits = components.configuration.routing.limits
            connections.header_timeout_s = limits.header_timeout_s
            connections.idle_timeout_s = limits.idle_timeout_s
        connections.close_expired(now)

    async def _forget_lost_hosts(self, now: float) -> None:
        """Delete the registrations of hosts that are gone, if this host's name is the lowest."""
        components = self._components
        if not components.members.has_lowest_name(now):
            return
        for member in components.members.lost(now):
            components.recorder.record("host.forgotten", peer=member.host)
            await components.membership.forget(member.host)
