"""Calls through the HTTP table client to the platform's stand-in."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from random import Random
from time import perf_counter
from time import process_time
from typing import TYPE_CHECKING

from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.services import StoreTable
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import Processes
from flamingoladder.standins.processes import free_ports
from flamingoladder.storage.table import MAX_TRANSACTION_ROWS
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

SEED = 1
CALLERS = 16
CALLS = 4_800
ROW_COUNTS = (0, 20_000)
QUICK_CALLS = 800
QUICK_ROW_COUNTS = (0, 2_000)
ROW_BYTES = 100
TIMEOUT_S = 10.0
TOKEN = "bench"
MICROSECONDS_PER_SECOND = 1_000_000


def measure(quick: bool) -> None:
    """Print calls a second with ``CALLERS`` at once, and the client's processor time for each."""
    print(f"seed {SEED}, {CALLERS} calls at once")
    print(f"{'rows':>6}  {'call':<24} {'calls/s':>8} {'client us/call':>15}")
    for rows in QUICK_ROW_COUNTS if quick else ROW_COUNTS:
        asyncio.run(_measure_with(rows, QUICK_CALLS if quick else CALLS))


async def _measure_with(rows: int, calls: int) -> None:
    port = free_ports(1, Random(SEED))
    url = f"http://{LOOPBACK}:{port}"
    environment = {"FLAMINGOLADDER_PLATFORM_TOKEN": TOKEN}
    with tempfile.TemporaryDirectory() as directory:
        async with Processes(Path(directory), environment) as processes:
            process = processes.start("platform", "standin-platform", "--port", str(port))
            await process.wait_until_ready(url)
            transport = HttpTransport.from_config(url, TOKEN)
            await _run(StoreTable(RowStore(transport)), rows, calls)
            await transport.close()


async def _run(table: StoreTable, rows: int, calls: int) -> None:
    await _fill(table, rows)

    async def get(number: int) -> None:
        await table.get(f"rows/{number}", TIMEOUT_S)

    async def read(number: int) -> None:
        await table.read(f"rows/{number}/", TIMEOUT_S)

    async def write(number: int) -> None:
        key = f"claims/{number}"
        await table.transact([Condition(key, 0)], [Write(key, bytes(ROW_BYTES))], TIMEOUT_S)

    for name, call in (("get a row", get), ("read an empty prefix", read), ("create a row", write)):
        await _report(rows, name, call, calls)


async def _fill(table: StoreTable, rows: int) -> None:
    numbers = range(rows)
    for first in range(0, rows, MAX_TRANSACTION_ROWS):
        batch = numbers[first : first + MAX_TRANSACTION_ROWS]
        writes = [Write(f"rows/{number}", bytes(ROW_BYTES)) for number in batch]
        await table.transact((), writes, TIMEOUT_S)


async def _report(rows: int, name: str, call: Callable[[int], Awaitable[None]], calls: int) -> None:
    started, used = perf_counter(), process_time()
    await asyncio.gather(*(_caller(call, first, calls) for first in range(CALLERS)))
    elapsed_s = perf_counter() - started
    used_us = (process_time() - used) * MICROSECONDS_PER_SECOND / calls
    print(f"{rows:>6}  {name:<24} {calls / elapsed_s:>8.0f} {used_us:>15.0f}", flush=True)


async def _caller(call: Callable[[int], Awaitable[None]], first: int, calls: int) -> None:
    for number in range(first, calls, CALLERS):
        await call(number)
