"""Entry hosts as real processes, on stand-ins of the store and the targets, with relays between."""

from __future__ import annotations

import asyncio
from random import SystemRandom
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.standins.deployment import PORTS_A_HOST
from flamingoladder.platform.standins.deployment import REGIONS_BY_DOMAIN
from flamingoladder.platform.standins.deployment import configuration
from flamingoladder.platform.standins.deployment import host_settings
from flamingoladder.platform.standins.foreign_rows import write_foreign_rows
from flamingoladder.platform.standins.settings_file import settings_file
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.platform.standins.store import platform_application
from flamingoladder.platform.standins.targets import TABLE as TARGETS_TABLE
from flamingoladder.platform.standins.targets import StandinTarget
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import Processes
from flamingoladder.standins.processes import free_ports
from flamingoladder.standins.relay import Relay
from flamingoladder.standins.server import ApplicationServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path
    from random import Random

    from flamingoladder.entry.settings import Endpoint
    from flamingoladder.entry.settings import HostSettings
    from flamingoladder.platform.standins.targets import TargetArrival
    from flamingoladder.platform.standins.targets import TargetRun
    from flamingoladder.standins.processes import ManagedProcess

SERVICES = ("catalogue", "bookings")
# Long enough that stops, kills and cuts meet requests at work.
WORK_S = 0.2
# Targets write their entries again within a heartbeat.
REWRITE_S = 1.5


class SoakHost:
    """An entry host: its process, its settings and its relay to the store.

    ``busy`` is held by the one fault of the process that is at work.
    """

    __slots__ = ("busy", "process", "settings", "store_relay")

    def __init__(self, process: ManagedProcess, settings: HostSettings, store_relay: Relay) -> None:
        self.process = process
        self.settings = settings
        self.store_relay = store_relay
        self.busy = asyncio.Lock()

    async def wait_until_ready(self) -> None:
        """Return when the host takes callers.

        :raises ProcessNotReadyError: if that takes too long.
        """
        await self.process.wait_until_ready(f"http://{self.settings.health}/-/readyz")


class SoakTarget:
    """A target and the relay through which hosts reach it; ``is_down`` after a crash."""

    __slots__ = ("is_down", "relay", "target")

    def __init__(self, target: StandinTarget, relay: Relay) -> None:
        self.target = target
        self.relay = relay
        self.is_down = False


class SoakDeployment:
    """All parts; leaving the context ends every process that was started.

    ``on_run`` holds, by path, what is called as a target begins to run a request.
    """

    __slots__ = (
        "_directory",
        "_gone",
        "_ports",
        "_processes",
        "_server",
        "_targets_per_service",
        "_transport",
        "_version",
        "_without_entry",
        "hosts",
        "keys_by_workspace",
        "on_run",
        "rates_per_s",
        "state",
        "store",
        "targets_by_id",
    )

    def __init__(
        self,
        directory: Path,
        hosts: int,
        targets: int,
        keys_by_workspace: dict[str, list[str]],
        rates_per_s: dict[str, float],
    ) -> None:
        self._directory = directory
        self._processes = Processes(directory)
        self._gone: list[StandinTarget] = []
        self._version = 0
        self._without_entry: set[str] = set()
        # Not seeded, as soaks with the same seed may run beside each other.
        first = free_ports(hosts * PORTS_A_HOST, SystemRandom())
        self._ports = [first + number * PORTS_A_HOST for number in range(hosts)]
        self.state = PlatformState()
        self._server = ApplicationServer(platform_application(self.state), LOOPBACK, 0)
        self.keys_by_workspace = keys_by_workspace
        self.rates_per_s = rates_per_s
        self.hosts: list[SoakHost] = []
        self.on_run: dict[str, Callable[[TargetRun], None]] = {}
        self._targets_per_service = targets
        self.targets_by_id: dict[str, SoakTarget] = {}
        self._transport: HttpTransport
        self.store: RowStore

    @property
    def addresses_by_host(self) -> dict[str, Endpoint]:
        """Return where each host takes callers."""
        return {host.settings.host: host.settings.callers for host in self.hosts}

    @property
    def runs(self) -> list[TargetRun]:
        """Return the runs of all targets, those that left included."""
        return [run for target in self._all_targets for run in target.runs]

    @property
    def arrivals(self) -> list[TargetArrival]:
        """Return the requests that reached any target, those that left included."""
        return [arrival for target in self._all_targets for arrival in target.arrivals]

    @property
    def _all_targets(self) -> list[StandinTarget]:
        return [*self._gone, *(of.target for of in self.targets_by_id.values())]

    async def __aenter__(self) -> SoakDeployment:
        await self._processes.__aenter__()
        await self._server.start()
        self._transport = HttpTransport.from_config(self._server.url, None)
        self.store = RowStore(self._transport)
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._processes.__aexit__(None, None, None)
        for host in self.hosts:
            await host.store_relay.stop()
        for target in self.targets_by_id.values():
            await target.relay.stop()
            await target.target.server.stop()
        await self._transport.close()
        await self._server.stop()

    async def configure(self) -> None:
        """Write the configuration with the keys that are granted now, as the operator does."""
        self._version += 1
        document = configuration(self._version, self.keys_by_workspace, self.rates_per_s)
        await self.store.write("op", "config", msgspec.json.encode(document))

    async def write_again(self, random: Random) -> None:
        """Write what a store that came back from an older copy lost, as its writers do.

        The operator does so at once, and each target within ``REWRITE_S``.
        """
        await self.configure()
        gone = self._without_entry | {target.target_id for target in self._gone}
        registered = [
            of.target for name, of in self.targets_by_id.items() if name not in self._without_entry
        ]
        await asyncio.gather(
            *(
                self._write_entry_again(target, random.uniform(0, REWRITE_S))
                for target in registered
            ),
            *(self.store.delete(TARGETS_TABLE, target_id) for target_id in sorted(gone)),
        )

    async def _write_entry_again(self, target: StandinTarget, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if target.target_id not in self._without_entry:
            await target.register(self.store)

    async def add_target(self, service: str, number: int) -> str:
        """Start a target behind a relay, register it, and return its id."""
        domain = list(REGIONS_BY_DOMAIN)[number % len(REGIONS_BY_DOMAIN)]
        target = StandinTarget(f"i-{service}-{number}", service, domain, work_s=WORK_S)
        target.on_run = self._observe
        await target.server.start()
        relay = Relay(target.server.address, target.server.port)
        await relay.start()
        self.targets_by_id[target.target_id] = SoakTarget(target, relay)
        target.advertised_address = f"{relay.address}:{relay.port}"
        await target.register(self.store)
        return target.target_id

    def _observe(self, run: TargetRun) -> None:
        observer = self.on_run.get(run.path)
        if observer is not None:
            observer(run)

    async def remove_target(self, target_id: str) -> None:
        """Delete a target's entry; it serves on."""
        self._without_entry.add(target_id)
        await self.store.delete(TARGETS_TABLE, target_id)

    def has_entry(self, target_id: str) -> bool:
        """Return whether the target runs and has not left."""
        return target_id in self.targets_by_id and target_id not in self._without_entry

    async def stop_target(self, target_id: str) -> None:
        """End a target."""
        removed = self.targets_by_id.pop(target_id)
        self._gone.append(removed.target)
        await removed.relay.stop()
        await removed.target.server.stop()

    async def _start(self) -> None:
        await write_foreign_rows(self.store)
        await self.configure()
        for service in SERVICES:
            for number in range(self._targets_per_service):
                await self.add_target(service, number)
        for number, port in enumerate(self._ports):
            await self._start_host(number, port)
        await asyncio.gather(*(host.wait_until_ready() for host in self.hosts))
        for host in self.hosts:
            # A host that starts again is no longer part of the whole system's first start.
            self._write_settings(msgspec.structs.replace(host.settings, first_start=False))

    async def _start_host(self, number: int, port: int) -> None:
        relay = Relay(self._server.address, self._server.port)
        await relay.start()
        settings = host_settings(number, port, relay.url)
        path = self._write_settings(settings)
        process = self._processes.start(settings.host, "entry", "--settings", str(path))
        self.hosts.append(SoakHost(process, settings, relay))

    def _write_settings(self, settings: HostSettings) -> Path:
        path = self._directory / f"{settings.host}.json"
        path.write_bytes(settings_file(settings))
        return path
