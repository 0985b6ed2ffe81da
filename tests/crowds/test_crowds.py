"""Crowds of clients that take a host's memory or descriptors.

The host ended, out of memory, when clients sent large bodies at once and stopped before the end,
or read long answers slowly. Sizes and bounds are fixed: a host of 200 MB with ``max_fds`` 500.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.crowds.crowd import Clients
from tests.crowds.crowded_host import MAX_BODY_BYTES
from tests.crowds.crowded_host import MIB
from tests.crowds.crowded_host import CrowdedHost
from tests.crowds.crowded_host import crowded_host

if TYPE_CHECKING:
    from pathlib import Path

HELD_S = 3.0
HANG_S = 40.0
LONG_ANSWER_BYTES = 15_000_000

SHORT_OF_THE_END = Clients(16, 24 * MIB, missing_bytes=1)
SLOW_READERS = Clients(12, answer_bytes=LONG_ANSWER_BYTES)
CROWDS = {
    "bodies_but_the_last_byte": [SHORT_OF_THE_END],
    "many_smaller_bodies_but_the_last_byte": [Clients(120, 1 * MIB, missing_bytes=1)],
    "bodies_of_the_largest_size": [Clients(8, MAX_BODY_BYTES, missing_bytes=1)],
    "bodies_in_chunks": [Clients(16, 16 * MIB, missing_bytes=1, chunked=True)],
    "bodies_whole_at_once": [Clients(16, 16 * MIB)],
    "bodies_without_a_key": [Clients(16, 24 * MIB, missing_bytes=1, key=None)],
    "slow_readers": [SLOW_READERS],
    "many_slow_readers": [Clients(40, answer_bytes=LONG_ANSWER_BYTES)],
    "bodies_and_slow_readers": [SHORT_OF_THE_END, SLOW_READERS],
    "heads_without_an_end": [Clients(600, ends_head=False)],
}


async def _hold_crowd(host: CrowdedHost, crowd: list[Clients]) -> None:
    """Connect the crowd, send one ordinary request after a while, and part with the crowd."""
    runs = [
        asyncio.create_task(clients.run(host.port, number))
        for clients in crowd
        for number in range(clients.count)
    ]
    try:
        await asyncio.sleep(HELD_S)
        assert await host.send(b"while") == (200, b"5")
    finally:
        for run in runs:
            run.cancel()
        await asyncio.gather(*runs, return_exceptions=True)


async def _watched(host: CrowdedHost, work: asyncio.Task[None]) -> None:
    """Run ``work`` to its end; end it as soon as the host passes a bound."""
    watch = asyncio.create_task(host.watch())
    try:
        async with asyncio.timeout(HANG_S):
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
        if watch.done():
            await watch
        await work
    finally:
        for task in (work, watch):
            task.cancel()
        await asyncio.gather(work, watch, return_exceptions=True)


@pytest.mark.parametrize("name", CROWDS)
async def test_host_stays_within_its_bounds_and_answers(name: str, tmp_path: Path) -> None:
    async with crowded_host(tmp_path) as host:
        await _watched(host, asyncio.create_task(_hold_crowd(host, CROWDS[name])))
        async with asyncio.timeout(HANG_S):
            assert await host.send(b"after") == (200, b"5")
        host.check()


async def test_one_body_of_the_largest_size_is_served_in_calm(tmp_path: Path) -> None:
    async def send_largest(host: CrowdedHost) -> None:
        status, received = await host.send(bytes(MAX_BODY_BYTES))
        assert (status, received) == (200, str(MAX_BODY_BYTES).encode())

    async with crowded_host(tmp_path) as host:
        await _watched(host, asyncio.create_task(send_largest(host)))
        assert await host.send(b"after") == (200, b"5")
        host.check()
