"""A host's requests to a sound server beside servers that send bytes without end."""

from __future__ import annotations

import asyncio
import resource
import sys
from asyncio.subprocess import PIPE
from contextlib import suppress
from typing import TYPE_CHECKING

from multidict import CIMultiDict
from yarl import URL

from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.standins.server import ApplicationServer
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import Pool
from flamingoladder.transport.sending import Outgoing

if TYPE_CHECKING:
    from collections.abc import Sequence

from aiohttp import web

COUNTS = (0, 20, 50)
DURATION_S = 8.0
QUICK_DURATION_S = 2.0
DEADLINE_S = 3.0
SOUND_CALLERS = 4
SOUND_WORK_S = 0.01
SOUND_PAUSE_S = 0.02
FLOOD_PAUSE_S = 0.5
TURN_S = 0.01
HOST_MEMORY_MB = 300.0
MS_PER_S = 1_000


def measure(quick: bool) -> None:
    """Print times of requests to the sound server, the longest turn of the loop, and memory."""
    print(f"{'floods':>6} {'calls':>6} {'p50 ms':>7} {'p99 ms':>7} {'turn ms':>8} {'peak MB':>8}")
    for count in COUNTS:
        asyncio.run(_measure_beside(count, QUICK_DURATION_S if quick else DURATION_S))


async def _measure_beside(count: int, duration_s: float) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.flood_servers", str(count), stdout=PIPE
    )
    assert process.stdout is not None
    urls = [URL((await process.stdout.readline()).decode().strip()) for _ in range(count)]
    sound = await _sound_server()
    until = asyncio.get_running_loop().time() + duration_s
    memory = MemoryBudget.from_config(HOST_MEMORY_MB)
    try:
        turns = asyncio.create_task(_turns(until))
        flooded = [_call(url, memory, until, FLOOD_PAUSE_S) for url in urls]
        called = [_call(URL(sound.url), memory, until, SOUND_PAUSE_S) for _ in range(SOUND_CALLERS)]
        results = await asyncio.gather(*called, *flooded)
        times_s = sorted(time_s for part in results[:SOUND_CALLERS] for time_s in part)
        turns_s = await turns
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await sound.stop()
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024
    print(
        f"{count:>6} {len(times_s):>6} {_quantile_ms(times_s, 0.5):>7.1f}"
        f" {_quantile_ms(times_s, 0.99):>7.1f} {max(turns_s) * MS_PER_S:>8.1f} {peak_mb:>8.0f}"
    )


async def _sound_server() -> ApplicationServer:
    async def answer(_request: web.Request) -> web.Response:
        await asyncio.sleep(SOUND_WORK_S)
        return web.Response(text="hello")

    application = web.Application()
    application.router.add_get("/", answer)
    server = ApplicationServer(application, "127.0.0.1", 0)
    await server.start()
    return server


async def _call(url: URL, memory: MemoryBudget, until: float, pause_s: float) -> list[float]:
    loop = asyncio.get_running_loop()
    pool = Pool(1, keep=True, memory=memory)
    times_s = []
    while loop.time() < until:
        started = loop.time()
        exchange = Exchange(started + DEADLINE_S)
        await pool.send(Outgoing("GET", url, CIMultiDict(), b"", ""), exchange)
        times_s.append(loop.time() - started)
        await asyncio.sleep(pause_s)
    await pool.retire()
    return times_s


async def _turns(until: float) -> list[float]:
    """Return by how much each short sleep was longer than asked for, in seconds."""
    loop = asyncio.get_running_loop()
    turns_s = []
    while loop.time() < until:
        started = loop.time()
        await asyncio.sleep(TURN_S)
        turns_s.append(loop.time() - started - TURN_S)
    return turns_s


def _quantile_ms(ordered_s: Sequence[float], quantile: float) -> float:
    return ordered_s[min(len(ordered_s) - 1, int(len(ordered_s) * quantile))] * MS_PER_S
