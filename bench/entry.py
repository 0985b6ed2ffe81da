"""What an entry host costs: CPU time for small requests, look-ups and health checks, and at rest.

One ``flamingoladder entry`` process on loopback, with the platform's stand-in and tiny targets in
another process; the load comes from this one.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import aiohttp

from bench.entry_servers import TARGETS
from bench.entry_servers import key
from bench.gateway import Process
from bench.loopback import closed_loop
from flamingoladder.platform import headers
from flamingoladder.platform.settings import PATH_VARIABLE
from flamingoladder.platform.standins.deployment import host_settings
from flamingoladder.platform.standins.settings_file import settings_file
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import free_ports

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingoladder.entry.settings import HostSettings

SEED = 1
CONNECTIONS = (1, 16)
WARM_UP_REQUESTS = 500
REQUESTS = 10_000
QUICK_REQUESTS = 1_500
IDLE_S = 10.0
QUICK_IDLE_S = 3.0
PACED_PER_S = 7.0
READY_TIMEOUT_S = 20.0
POLL_S = 0.1
HOST_PORTS = 5
# The profile of the host is written to this file, at some cost of its own.
PROFILE_VARIABLE = "BENCH_PROFILE"
US_PER_S = 1_000_000


def measure(quick: bool) -> None:
    """Print the CPU time of the host for each kind of request, and at rest."""
    first_port = free_ports(HOST_PORTS + TARGETS + 1, Random(SEED))
    store_port = first_port + HOST_PORTS
    settings = host_settings(0, first_port, f"http://{LOOPBACK}:{store_port}")
    profile = os.environ.get(PROFILE_VARIABLE)
    profiler = () if profile is None else ("-m", "cProfile", "-o", profile)
    with tempfile.TemporaryDirectory() as directory, ExitStack() as processes:
        path = Path(directory) / "settings.json"
        path.write_bytes(settings_file(settings))
        processes.enter_context(_running("-m", "bench.entry_servers", str(store_port)))
        asyncio.run(_wait_until_ready(f"http://{LOOPBACK}:{store_port}/counts"))
        host = processes.enter_context(
            _running(*profiler, "-m", "flamingoladder", "entry", settings_path=str(path))
        )
        asyncio.run(_measure(settings, Process(host.pid), quick))


@contextmanager
def _running(*arguments: str, settings_path: str = "") -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        [sys.executable, *arguments],
        env={**os.environ, PATH_VARIABLE: settings_path},
        stdout=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        process.terminate()
        process.wait()


async def _measure(settings: HostSettings, process: Process, quick: bool) -> None:
    await _wait_until_ready(f"http://{settings.health}/")
    print(f"seed {SEED}, start until ready: {process.cpu_s():.2f} s of CPU time")
    await _load(settings, process, QUICK_REQUESTS if quick else REQUESTS)
    await _rest(process, QUICK_IDLE_S if quick else IDLE_S)
    await _pace(settings, process, QUICK_IDLE_S if quick else IDLE_S)


async def _load(settings: HostSettings, process: Process, requests: int) -> None:
    rows = [
        ("read", settings.callers.port, _request("GET", "/kit/3/item/17")),
        ("read of 4 KB", settings.callers.port, _request("PUT", "/kit/3/item/17", 4_096)),
        ("book", settings.callers.port, _request("POST", "/bookings/2/17", 200)),
        ("refused, no key", settings.callers.port, _request("GET", "/kit/3/item/17", keyed=False)),
        (
            "look-up",
            settings.lookups.port,
            b"GET /-/resolve?region=north HTTP/1.1\r\nHost: x\r\n\r\n",
        ),
        ("health", settings.health.port, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
    ]
    print(f"{'request':<16} {'conns':>5} {'per s':>7} {'p50 ms':>7} {'cpu us':>7} {'others':>6}")
    for connections in CONNECTIONS:
        for name, port, request in rows:
            await closed_loop(port, request, connections, min(requests, WARM_UP_REQUESTS))
            process.cpu_s()
            sample = await closed_loop(port, request, connections, requests)
            cpu_us = US_PER_S * process.cpu_s() / requests
            p50_ms = sample.quantile_ms(0.5) if sample.latencies_s else 0.0
            print(
                f"{name:<16} {connections:>5} {requests / sample.elapsed_s:>7.0f} {p50_ms:>7.2f}"
                f" {cpu_us:>7.0f} {sample.refused:>6}",
                flush=True,
            )


async def _rest(process: Process, seconds: float) -> None:
    process.cpu_s()
    await asyncio.sleep(seconds)
    print(f"at rest: {process.cpu_s() / seconds:.4f} cores, {process.resident_mb():.1f} MB")


async def _pace(settings: HostSettings, process: Process, seconds: float) -> None:
    """Send requests for one object after the other, as slowly as to one of many hosts."""
    process.cpu_s()
    requests = int(seconds * PACED_PER_S)
    refused = 0
    for number in range(requests):
        request = _request("GET", "/kit/3/item/17", object_name=f"object-{number}")
        sample = await closed_loop(settings.callers.port, request, 1, 1)
        refused += sample.refused
        await asyncio.sleep(1 / PACED_PER_S)
    cpu_s = process.cpu_s()
    print(
        f"{PACED_PER_S:.0f} requests/s for {requests} objects: {cpu_s / seconds:.4f} cores, "
        f"{US_PER_S * cpu_s / requests:.0f} us of CPU time each, {refused} refused"
    )


async def _wait_until_ready(url: str) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_S)


def _request(
    method: str,
    path: str,
    body_bytes: int = 0,
    *,
    keyed: bool = True,
    object_name: str = "object-17",
) -> bytes:
    fields = {
        "Host": "rental.example",
        "User-Agent": "bench/1.0",
        "Accept": "*/*",
        "Accept-Encoding": "gzip, deflate",
        headers.REQUEST_ID: "0123456789abcdef",
        headers.DEADLINE_MS: "900",
        "Cookie": f"session=0a1b2c3d; {headers.AFFINITY_COOKIE}={object_name}",
    }
    if keyed:
        fields[headers.API_KEY] = key(17)
    if body_bytes:
        fields |= {"Content-Type": "application/json", "Content-Length": str(body_bytes)}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + bytes(body_bytes)
