"""Tests that a row of another writer stops nothing but itself."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import pytest

from flamingoladder.platform.standins.deployment import BOUNDS
from flamingoladder.platform.standins.deployment import local_platform
from flamingoladder.platform.standins.foreign_rows import NESTED_JSON
from flamingoladder.platform.standins.targets import StandinTarget
from tests.entry.test_end_to_end import KEYS
from tests.entry.test_end_to_end import Caller
from tests.nesting import NESTED_MSGPACK

if TYPE_CHECKING:
    from flamingoladder.platform.standins.deployment import LocalPlatform

REQUESTS = 30


@pytest.mark.parametrize(
    ("table", "key", "value", "restarted"),
    [
        ("servers", "i-a", NESTED_JSON, True),
        ("servers", "i-a", NESTED_JSON, False),
        ("servers", "i-z", NESTED_JSON, True),
        ("members", "host-z", NESTED_JSON, True),
        ("members", "host-z", NESTED_JSON, False),
        ("objects", "south", NESTED_JSON, True),
        ("state", "crashes/0", NESTED_MSGPACK, True),
        ("op", "z", NESTED_JSON, True),
    ],
)
async def test_hosts_serve_and_follow_changes_while_a_nested_row_stands(
    table: str, key: str, value: bytes, *, restarted: bool
) -> None:
    """Hosts read the table anew once a second in vain, and served almost nothing after a start."""
    async with local_platform(Random(), KEYS) as platform:
        await platform.store.write(table, key, value)
        if restarted:
            await platform.restart_hosts()
        assert await _statuses(platform) == {200}
        await platform.targets[0].drain(platform.store)
        await platform.configure(2, {"turf": ["k-turf"]})
        await asyncio.sleep(BOUNDS.propagation_s)
        drained = len(platform.targets[0].runs)
        assert await _statuses(platform) == {200}
        assert len(platform.targets[0].runs) == drained
        assert {host.configuration_version for host in platform.hosts} == {2}
        assert [url for url in platform.metrics_urls if await _has_failed_task(url)] == []


@pytest.mark.parametrize(
    "address", ["127.0.0.1:65536", "127.0.0.1\r\nX: y:80", "\u2603" * 64 + ":80"]
)
async def test_no_request_goes_to_an_address_that_cannot_be_one(address: str) -> None:
    """A request sent there failed with 502, though another target could have served it."""
    async with local_platform(Random(), KEYS) as platform:
        foreign = StandinTarget("i-z", "catalogue", "north-a")
        foreign.advertised_address = address
        await foreign.register(platform.store)
        await platform.restart_hosts()
        assert await _statuses(platform) == {200}


async def _statuses(platform: LocalPlatform) -> set[int]:
    """Return the statuses of answers to requests of several objects."""
    caller = Caller(platform)
    try:
        return {(await caller.send(f"/kit/{number}"))[0] for number in range(REQUESTS)}
    finally:
        await caller.close()


async def _has_failed_task(metrics_url: str) -> bool:
    async with aiohttp.ClientSession() as session, session.get(metrics_url) as response:
        return 'kind="task.failed"' in await response.text()
