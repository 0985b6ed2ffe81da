"""A small deployment on one machine: store, targets and entry hosts in one process."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from flamingoladder.entry.daemon import EntryHost
from flamingoladder.entry.settings import Bounds
from flamingoladder.entry.settings import Endpoint
from flamingoladder.entry.settings import HostSettings
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.platform.standins.store import platform_application
from flamingoladder.platform.standins.targets import StandinTarget
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import free_ports
from flamingoladder.standins.server import ApplicationServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping
    from random import Random

PORTS_A_HOST = 5
READY_POLLS = 500
POLL_S = 0.02
AMPLE_RATE_PER_S = 1_000.0
REGIONS_BY_DOMAIN = {"north-a": "north", "south-a": "south", "south-b": "south"}
BOUNDS = Bounds(
    grace_s=6.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=58.0,
    slow_start_overshoot=1.5,
    slow_start_slack=5.0,
    lookup_ttl_s=5.0,
    propagation_s=2.5,
)


def configuration(
    version: int, keys: dict[str, list[str]], rates_per_s: Mapping[str, float] | None = None
) -> dict[str, Any]:
    """Return a configuration with two routes; ``keys`` are those of each workspace.

    ``rates_per_s`` holds the rates of workspaces, which are their bursts too.
    """
    rates = rates_per_s or {}
    route = {
        "timeout_s": 1.0,
        "latency_slo_s": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "allowed_regions": [],
    }
    read = {"name": "read", "path_prefix": "/kit/", "kind": "idempotent", "service": "catalogue"}
    book = {
        "name": "book",
        "path_prefix": "/bookings/",
        "kind": "non_idempotent",
        "service": "bookings",
    }
    return {
        "version": f"{version:08x}",
        "services": [
            {
                "name": name,
                "health_check": "/healthz",
                "max_conns": 100,
                "warmup_s": 3.0,
                "warmup_per_s": 3.0,
            }
            for name in ("catalogue", "bookings")
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536, "idle_timeout_s": 15},
        "tenants": [
            {
                "name": name,
                "api_keys": found,
                "rate_per_s": rates.get(name, AMPLE_RATE_PER_S),
                "burst": rates.get(name, AMPLE_RATE_PER_S),
            }
            for name, found in keys.items()
        ],
        "virtual_hosts": [
            {"host": "rental.example", "paths": [{**read, **route}, {**book, **route}]}
        ],
    }


def host_settings(
    number: int, port: int, store_url: str, *, first_start: bool = True
) -> HostSettings:
    """Return the settings of a host with ``PORTS_A_HOST`` ports from ``port`` on."""
    domain = list(REGIONS_BY_DOMAIN)[number % len(REGIONS_BY_DOMAIN)]
    return HostSettings(
        host=f"host-{number}",
        failure_domain=domain,
        region=REGIONS_BY_DOMAIN[domain],
        first_start=first_start,
        regions_by_domain=REGIONS_BY_DOMAIN,
        callers=Endpoint(LOOPBACK, port),
        health=Endpoint(LOOPBACK, port + 1),
        lookups=Endpoint(LOOPBACK, port + 2),
        peers=Endpoint(LOOPBACK, port + 3),
        metrics=Endpoint(LOOPBACK, port + 4),
        store_url=store_url,
        bounds=BOUNDS,
    )


class LocalPlatform:
    """The parts of a running deployment."""

    def __init__(self, random: Random, hosts: int = 3, targets: int = 3) -> None:
        first = free_ports(hosts * PORTS_A_HOST, random)
        self.state = PlatformState()
        self._server = ApplicationServer(platform_application(self.state), LOOPBACK, 0)
        self.targets = [
            StandinTarget(f"i-{service}-{number}", service, domain)
            for service in ("catalogue", "bookings")
            for number, domain in zip(
                range(targets), list(REGIONS_BY_DOMAIN) * targets, strict=False
            )
        ]
        self._ports = [first + number * PORTS_A_HOST for number in range(hosts)]
        self.hosts: list[EntryHost] = []
        self.store: RowStore
        self._transport: HttpTransport

    @property
    def caller_urls(self) -> list[str]:
        """Return the base URL of each host for callers."""
        return [f"http://{LOOPBACK}:{port}" for port in self._ports]

    @property
    def lookup_urls(self) -> list[str]:
        """Return the base URL of each host for look-ups."""
        return [f"http://{LOOPBACK}:{port + 2}" for port in self._ports]

    @property
    def metrics_urls(self) -> list[str]:
        """Return the URL of each host's metrics."""
        return [f"http://{LOOPBACK}:{port + 4}/metrics" for port in self._ports]

    @property
    def runs(self) -> list[tuple[str, str]]:
        """Return request id and target of all runs."""
        return [(run.request_id, run.target_id) for target in self.targets for run in target.runs]

    async def configure(self, version: int, keys: dict[str, list[str]]) -> None:
        """Write a configuration, as the operator does."""
        await self.store.write("op", "config", msgspec.json.encode(configuration(version, keys)))

    async def start(self, keys: dict[str, list[str]]) -> None:
        """Start everything and wait until each host serves and hears the others."""
        await self._server.start()
        self._transport = HttpTransport.from_config(self._server.url, None)
        self.store = RowStore(self._transport)
        await self.configure(1, keys)
        for target in self.targets:
            await target.start(self.store)
        await self._start_hosts(first_start=True)

    async def restart_hosts(self) -> None:
        """Stop all hosts at once, start them anew and wait until each serves."""
        for host in self.hosts:
            await host.close()
        await self._start_hosts(first_start=False)

    async def _start_hosts(self, *, first_start: bool) -> None:
        settings = [self.settings(n, first_start=first_start) for n in range(len(self._ports))]
        self.hosts = [EntryHost.from_config(each) for each in settings]
        for host in self.hosts:
            await host.start()
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        others = len(self.hosts) - 1
        for _ in range(READY_POLLS):
            if all(host.is_serving_with(others) for host in self.hosts):
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError("the hosts did not hear one another in time")

    def settings(self, number: int, *, first_start: bool = True) -> HostSettings:
        """Return the settings of a host."""
        port = self._ports[number]
        return host_settings(number, port, self._server.url, first_start=first_start)

    async def stop(self) -> None:
        """Close everything at once."""
        for host in self.hosts:
            await host.close()
        for target in self.targets:
            await target.server.stop()
        await self._transport.close()
        await self._server.stop()


@asynccontextmanager
async def local_platform(
    random: Random, keys: dict[str, list[str]], hosts: int = 3, targets: int = 3
) -> AsyncIterator[LocalPlatform]:
    """Run a deployment whose workspaces have these keys."""
    platform = LocalPlatform(random, hosts, targets)
    await platform.start(keys)
    try:
        yield platform
    finally:
        await platform.stop()
