"""An entry host in a process of its own, whose memory and descriptors a test reads."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from flamingoladder.platform import headers
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.deployment import PORTS_A_HOST
from flamingoladder.platform.standins.deployment import configuration
from flamingoladder.platform.standins.deployment import host_settings
from flamingoladder.platform.standins.settings_file import settings_file
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.platform.standins.store import platform_application
from flamingoladder.platform.standins.targets import StandinTarget
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import Processes
from flamingoladder.standins.processes import free_ports
from flamingoladder.standins.server import ApplicationServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from flamingoladder.standins.processes import ManagedProcess

MEMORY_MB = 200
MAX_FDS = 500
PEAK_FRACTION = 0.7
KIB = 1_024
MIB = 1_024 * KIB
MAX_BODY_BYTES = 64 * MIB
ROUTE_TIMEOUT_S = 20.0
WRITE_BYTES = 64 * KIB
POLL_S = 0.02
KEY = "k-turf"


class HostExceededError(AssertionError):
    """The host ended, or took more than the test allows."""


class LongAnswers(StandinTarget):
    """A target that discards bodies; its answer has as many bytes as the query says."""

    def __init__(self, target_id: str, service: str, failure_domain: str) -> None:
        super().__init__(target_id, service, failure_domain)
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_route("*", "/{rest:.*}", self._answer)
        self.server = ApplicationServer(application, LOOPBACK, 0)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        received = 0
        async for part in request.content.iter_any():
            received += len(part)
        text = str(received).encode()
        size = int(request.query.get("bytes", len(text)))
        response = web.StreamResponse()
        response.content_length = size
        response.headers[headers.REQUEST_ID] = request.headers[headers.REQUEST_ID]
        response.headers[headers.SIGNATURE] = f"signed-by-{self.target_id}"
        await response.prepare(request)
        if "bytes" not in request.query:
            await response.write(text)
        else:
            for sent in range(0, size, WRITE_BYTES):
                await response.write(bytes(min(WRITE_BYTES, size - sent)))
        await response.write_eof()
        return response


class CrowdedHost:
    """The host process; the checks fail once it has ended or passed a bound."""

    def __init__(self, process: ManagedProcess, port: int) -> None:
        self._process = process
        self.port = port
        self._directory = Path(f"/proc/{process.pid}")

    @property
    def peak_bytes(self) -> int:
        """Return the largest resident size so far."""
        lines = (self._directory / "status").read_text().splitlines()
        [peak] = [line for line in lines if line.startswith("VmHWM:")]
        return int(peak.split()[1]) * KIB

    @property
    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list((self._directory / "fd").iterdir()))

    def check(self) -> None:
        """Check that the process lives within its bounds."""
        if not self._process.running:
            raise HostExceededError(f"the host ended: {self._process.log[-2_000:]}")
        if self.peak_bytes > PEAK_FRACTION * MEMORY_MB * MIB:
            raise HostExceededError(f"the host's peak is {self.peak_bytes / MIB:.0f} MiB")
        if self.descriptors > MAX_FDS:
            raise HostExceededError(f"the host has {self.descriptors} descriptors")

    async def watch(self) -> None:
        """Check until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(POLL_S)

    async def send(self, body: bytes = b"") -> tuple[int, bytes]:
        """Return status and body of the answer to one request on a new connection."""
        found = {"Host": "rental.example", headers.REQUEST_ID: "r-ordinary", headers.API_KEY: KEY}
        url = f"http://{LOOPBACK}:{self.port}/kit/1"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=body, headers=found) as response,
        ):
            return response.status, await response.read()


@asynccontextmanager
async def crowded_host(directory: Path) -> AsyncIterator[CrowdedHost]:
    """Run a host of 200 MB with its store and targets."""
    store_server = ApplicationServer(platform_application(PlatformState()), LOOPBACK, 0)
    await store_server.start()
    transport = HttpTransport.from_config(store_server.url, None)
    store = RowStore(transport)
    targets = [LongAnswers(f"i-{domain}", "catalogue", domain) for domain in ("north-a", "south-a")]
    try:
        await store.write("op", "config", msgspec.json.encode(_configuration()))
        for target in targets:
            await target.start(store)
        port = free_ports(PORTS_A_HOST, Random())
        settings = directory / "host.json"
        settings.write_bytes(_settings(port, store_server.url))
        async with Processes(directory) as processes:
            process = processes.start("host", "entry", "--settings", str(settings))
            await process.wait_until_ready(f"http://{LOOPBACK}:{port + 1}/")
            host = CrowdedHost(process, port)
            await _until_served(host)
            yield host
    finally:
        for target in targets:
            await target.server.stop()
        await transport.close()
        await store_server.stop()


async def _until_served(host: CrowdedHost) -> None:
    async with asyncio.timeout(ROUTE_TIMEOUT_S):
        status = 0
        while status != 200:
            status, _ = await host.send()
            await asyncio.sleep(POLL_S)


def _configuration() -> dict[str, Any]:
    found = configuration(1, {"turf": [KEY]})
    found["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    for path in found["virtual_hosts"][0]["paths"]:
        path.update(timeout_s=ROUTE_TIMEOUT_S, latency_slo_s=ROUTE_TIMEOUT_S)
    return found


def _settings(port: int, store_url: str) -> bytes:
    document = msgspec.json.decode(settings_file(host_settings(0, port, store_url)))
    document["self"]["limits"] = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    return msgspec.json.encode(document)
