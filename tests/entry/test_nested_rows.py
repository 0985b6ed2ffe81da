"""Tests that a row nested too deeply to be decoded stops nothing but itself."""

from __future__ import annotations

import asyncio
from random import Random

import aiohttp
import pytest

from flamingoladder.platform.standins.deployment import BOUNDS
from flamingoladder.platform.standins.deployment import local_platform
from tests.entry.test_end_to_end import KEYS
from tests.entry.test_end_to_end import Caller
from tests.nesting import NESTED_JSON
from tests.nesting import NESTED_MSGPACK

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
        caller = Caller(platform)
        try:
            assert await _statuses(caller) == {200}
            await platform.targets[0].drain(platform.store)
            await platform.configure(2, {"turf": ["k-turf"]})
            await asyncio.sleep(BOUNDS.propagation_s)
            drained = len(platform.targets[0].runs)
            assert await _statuses(caller) == {200}
        finally:
            await caller.close()
        assert len(platform.targets[0].runs) == drained
        assert {host.configuration_version for host in platform.hosts} == {2}
        assert [url for url in platform.metrics_urls if await _has_failed_task(url)] == []


async def _statuses(caller: Caller) -> set[int]:
    """Return the statuses of answers to requests of several objects."""
    return {(await caller.send(f"/kit/{number}"))[0] for number in range(REQUESTS)}


async def _has_failed_task(metrics_url: str) -> bool:
    async with aiohttp.ClientSession() as session, session.get(metrics_url) as response:
        return 'kind="task.failed"' in await response.text()
