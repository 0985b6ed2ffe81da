"""Tests that hosts of both kinds read at their start what the store holds of crashing requests."""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

import pytest

from flamingoladder.daemon.application import EntryDaemon
from flamingoladder.daemon.settings import read_settings
from flamingoladder.entry.daemon import EntryHost
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.services import STATE_TABLE
from flamingoladder.platform.services import StoreTable
from flamingoladder.platform.standins.deployment import host_settings
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.platform.standins.store import platform_application
from flamingoladder.poison.evidence import EVIDENCE_PREFIX
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import free_ports
from flamingoladder.standins.server import ApplicationServer
from flamingoladder.storage.table import Write
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

TIMEOUT_S = 2.0
PORTS = 5
USELESS = (Write(f"{EVIDENCE_PREFIX}00", b"no evidence"),)


@asynccontextmanager
async def running_entry(store_url: str) -> AsyncIterator[None]:
    settings = host_settings(0, free_ports(PORTS, Random()), store_url, first_start=False)
    host = EntryHost.from_config(settings)
    await host.start()
    try:
        yield
    finally:
        await host.close()


@asynccontextmanager
async def running_daemon(store_url: str) -> AsyncIterator[None]:
    port = free_ports(3, Random())
    flags = {
        "host": "h1",
        "region": "north",
        "failure_domain": "north-a",
        "address": LOOPBACK,
        "caller_port": port,
        "operator_port": port + 1,
        "peer_port": port + 2,
        "platform_url": store_url,
        "platform_token": "token",
        "operator_tokens": f"operator={'a' * 64}",
    }
    daemon = EntryDaemon.from_config(read_settings(flags, {}).ok)
    await daemon.start()
    try:
        yield
    finally:
        await daemon.stop()


@pytest.mark.parametrize("running", [running_entry, running_daemon])
async def test_a_host_that_starts_reads_the_evidence(
    running: Callable[[str], AbstractAsyncContextManager[None]],
) -> None:
    """Review, case 10: a host that starts finds rows of earlier hosts, and removes useless ones."""
    state = PlatformState()
    server = ApplicationServer(platform_application(state), LOOPBACK, 0)
    await server.start()
    transport = HttpTransport.from_config(server.url, None)
    table = StoreTable(RowStore(transport))
    await table.transact((), USELESS, TIMEOUT_S)
    async with running(server.url):
        await eventually(
            lambda: not state.tables.rows(STATE_TABLE, "", EVIDENCE_PREFIX, EVIDENCE_PREFIX + "g")
        )
    await transport.close()
    await server.stop()
