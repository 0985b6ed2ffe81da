"""Ports for callers as each way of running has them."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

from aiohttp import web

from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.memory.caller_connections import CallerConnections
from flamingoladder.memory.events import MemoryEvents
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.transport.port import Port

Handle: TypeAlias = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
PortOf: TypeAlias = Callable[[Handle, CallerConnections], Port]

LOOPBACK = "127.0.0.1"
FIELD_BYTES = 8_192
CLOSE_TIMEOUT_S = 0.1


def entry_port(handle: Handle, connections: CallerConnections) -> Port:
    """Return a port like that of an entry host."""
    return Port.of_handler(handle, FIELD_BYTES, CLOSE_TIMEOUT_S, connections)


def daemon_port(handle: Handle, connections: CallerConnections) -> Port:
    """Return a port like that of a daemon."""
    application = web.Application()
    application.router.add_route("*", "/", handle)
    return Port.of_application(application, FIELD_BYTES, 100, CLOSE_TIMEOUT_S, connections)


def new_connections() -> CallerConnections:
    """Return the connections of a port, without bounds."""
    events = MemoryEvents(Recorder("h", "i"), lambda _kind, _reason: None)
    return CallerConnections(MemoryBudget(), events)
