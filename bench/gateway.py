"""What an entry host costs: added latency, requests and look-ups a second, processor, memory.

A real deployment (platform stand-in, seven daemons) with a tiny upstream in a process of its own;
the load goes to one daemon, and for comparison straight to the upstream.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from bench.loopback import Sample
from bench.loopback import closed_loop
from flamingoladder.standins.deployment import LocalDeployment
from flamingoladder.standins.exceptions import CallFailedError
from flamingoladder.standins.processes import Processes

if TYPE_CHECKING:
    from flamingoladder.operators.messages import KeyReply

SEED = 1
TARGETS = 16
SLOTS = 3
PAGE_BYTES_PER_KB = 1_024
WARM_UP_REQUESTS = 500
BUSY_CONNECTIONS = 32
SETTLE_S = 2.0
MEET_TIMEOUT_S = 30.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

DOCUMENT: dict[str, Any] = {
    "name": "bench",
    "places": {
        "regions": {"here": {"failure_domains": {"here-a": {}, "here-b": {}}}},
        "delays": {"between_domains_ms": 0.5, "between_regions_ms": 20, "to_clients_ms": 8},
        "link": {"mbit_per_s": 4000},
        "store_region": "here",
    },
    "services": {
        "page": {
            "routes": [{"path": "/open", "open": True}, {"path": "/", "methods": ["GET"]}],
            "targets": {
                f"page-{number:02}": {
                    "address": "127.0.0.1:1",
                    "failure_domain": "here-a",
                    "slots": SLOTS,
                }
                for number in range(1, TARGETS + 1)
            },
        }
    },
    "workspaces": {"all": {"rate_per_s": 1_000_000, "burst": 1_000_000}},
}


class TinyDeployment(LocalDeployment):
    """A deployment whose targets are all one tiny upstream process."""

    __slots__ = ("_upstream",)

    def _start_upstreams(self, service: str) -> None:
        first = str(self.first_ports_by_service[service])
        command = [sys.executable, "-m", "bench.loopback", first, str(TARGETS)]
        self._upstream = subprocess.Popen(command)

    def stop_upstream(self) -> None:
        """End the tiny upstream."""
        self._upstream.kill()
        self._upstream.wait()


class Process:
    """Processor time and resident memory of a process."""

    __slots__ = ("_pid", "_ticks")

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._ticks = self._read_ticks()

    def cpu_s(self) -> float:
        """Return the processor time in seconds since the last call."""
        before, self._ticks = self._ticks, self._read_ticks()
        return (self._ticks - before) / TICKS_PER_S

    def resident_mb(self) -> float:
        """Return the resident memory in MB."""
        status = Path(f"/proc/{self._pid}/status").read_text()
        [line] = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(line.split()[1]) / PAGE_BYTES_PER_KB

    def _read_ticks(self) -> int:
        fields = Path(f"/proc/{self._pid}/stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])


def measure(quick: bool) -> None:
    """Run the measurement and print its table."""
    asyncio.run(_measure(1_000 if quick else 20_000))


async def _measure(requests: int) -> None:
    with tempfile.TemporaryDirectory() as directory:
        async with Processes(Path(directory)) as processes:
            deployment = TinyDeployment(processes, DOCUMENT, Random(SEED))
            try:
                await deployment.start()
                await _load(deployment, requests)
            finally:
                deployment.stop_upstream()


async def _load(deployment: TinyDeployment, requests: int) -> None:
    host = deployment.hosts[0]
    granted = await _grant(deployment)
    pid = deployment.process_of(host.name).pid
    assert pid is not None
    await asyncio.sleep(SETTLE_S)
    process = Process(pid)
    idle_mb = process.resident_mb()
    await asyncio.sleep(SETTLE_S)
    idle_part = process.cpu_s() / SETTLE_S
    authorization = f"Authorization: Bearer {granted.key}\r\n"
    direct_port = deployment.first_ports_by_service["page"]
    rows = [
        ("direct", direct_port, _get("/x")),
        ("open route", host.caller_port, _get("/services/page/open/x")),
        ("keyed route", host.caller_port, _get("/services/page/x", authorization)),
        ("look-up", host.caller_port, _get("/v1/lookup?service=page")),
    ]
    print(
        f"{'path':<12} {'conns':>5} {'per s':>8} {'p50 ms':>8} {'p99 ms':>8} {'cpu us':>7} refused"
    )
    for connections in (1, BUSY_CONNECTIONS):
        for name, port, request in rows:
            await closed_loop(port, request, connections, WARM_UP_REQUESTS)
            process.cpu_s()
            sample = await closed_loop(port, request, connections, requests)
            _print_row(name, connections, sample, process.cpu_s())
    print(f"idle daemon: {idle_mb:.1f} MB resident, {100 * idle_part:.1f}% of a core")
    print(f"after load:  {process.resident_mb():.1f} MB resident")


async def _grant(deployment: TinyDeployment) -> KeyReply:
    """Return a new key, once a majority of the fresh hosts has met."""
    async with asyncio.timeout(MEET_TIMEOUT_S):
        while True:
            try:
                return await deployment.grant("all")
            except CallFailedError:
                await asyncio.sleep(1.0)


def _print_row(name: str, connections: int, sample: Sample, cpu_s: float) -> None:
    cpu_us = 1e6 * cpu_s / max(1, len(sample.latencies_s))
    print(
        f"{name:<12} {connections:>5} {sample.per_s:>8.0f} {sample.quantile_ms(0.5):>8.3f} "
        f"{sample.quantile_ms(0.99):>8.3f} {cpu_us:>7.0f} {sample.refused}"
    )


def _get(path: str, extra: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: bench\r\n{extra}\r\n".encode()
