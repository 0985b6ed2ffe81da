"""A whole deployment on this machine: platform and upstream stand-ins, and entry daemons."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import msgspec
import yaml

from flamingoladder.config.reader import validate
from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.operators.messages import KeyReply
from flamingoladder.operators.messages import KeyRequest
from flamingoladder.standins.control import PlatformControl
from flamingoladder.standins.control import UpstreamControl
from flamingoladder.standins.exceptions import CallFailedError
from flamingoladder.standins.platform import HostSettings
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import Processes
from flamingoladder.standins.processes import free_ports
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

    from flamingoladder.config.model import Deployment
    from flamingoladder.console.operator_console import R
    from flamingoladder.standins.platform import FaultSettings
    from flamingoladder.standins.processes import ManagedProcess
    from flamingoladder.standins.upstream_messages import RunsReport

HOSTS = 7
PORTS_PER_HOST = 3
POLL_S = 0.05
READY_TIMEOUT_S = 20.0
SERVING_TIMEOUT_S = 30.0
PLATFORM = "platform"


class LocalHost(msgspec.Struct, frozen=True):
    """An entry host of the local deployment and its base URLs."""

    name: str
    region: str
    failure_domain: str
    caller_port: int

    @property
    def caller_url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{LOOPBACK}:{self.caller_port}"

    @property
    def operator_url(self) -> str:
        """Return the base URL for operators."""
        return f"http://{LOOPBACK}:{self.caller_port + 1}"


class LocalDeployment:
    """A deployment whose processes are real and whose addresses are all on the loopback interface.

    ``upstream_arguments`` are further flags of the upstream stand-ins.
    """

    __slots__ = (
        "_document",
        "_platform",
        "_token",
        "_upstream_arguments",
        "deployment",
        "first_ports_by_service",
        "hosts",
        "operator_token",
        "platform_url",
        "processes",
    )

    def __init__(
        self,
        processes: Processes,
        document: dict[str, Any],
        random: Random,
        upstream_arguments: tuple[str, ...] = (),
    ) -> None:
        self.processes = processes
        self._document = document
        self._upstream_arguments = upstream_arguments
        self._token = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)
        targets = sum(len(service["targets"]) for service in document["services"].values())
        own_ports = 1 + HOSTS * PORTS_PER_HOST
        first = free_ports(own_ports + targets, random)
        self.first_ports_by_service = self._move_targets(first + own_ports)
        self.deployment: Deployment = validate(document).ok
        self.platform_url = f"http://{LOOPBACK}:{first}"
        self._platform = PlatformControl(self.platform_url, self._token)
        self.hosts = self._place_hosts(first + 1)

    @classmethod
    def from_file(
        cls,
        processes: Processes,
        path: Path,
        random: Random,
        upstream_arguments: tuple[str, ...] = (),
    ) -> LocalDeployment:
        """Return the deployment of a configuration file, its targets moved to free ports."""
        return cls(processes, yaml.safe_load(path.read_text()), random, upstream_arguments)

    @property
    def host_names(self) -> tuple[str, ...]:
        """Return the names of all hosts."""
        return tuple(host.name for host in self.hosts)

    @property
    def console(self) -> OperatorConsole:
        """Return a console that tries the hosts in turn."""
        urls = ",".join(host.operator_url for host in self.hosts)
        return OperatorConsole.from_options(urls, self.operator_token, json=True)

    def process_of(self, host: str) -> ManagedProcess:
        """Return the process of an entry host."""
        return self.processes.by_name[host]

    async def start(self) -> None:
        """Start everything, apply the configuration and wait until all hosts are ready."""
        self._start_platform()
        for service in self.deployment.services:
            self._start_upstreams(service)
        platform = self.processes.by_name[PLATFORM]
        await platform.wait_until_ready(f"{self.platform_url}/counts")
        await self.list_hosts(self.host_names)
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            process = self.process_of(host.name)
            await process.wait_until_ready(f"{host.caller_url}/health/live")
        content = yaml.safe_dump(self._document).encode()
        await self.operate(
            Call("PUT", "/v1/configuration", CommitReport, content, {"If-Match": '"0"'})
        )
        await asyncio.gather(*(self.wait_until_ready(host) for host in self.hosts))

    def start_host(self, host: LocalHost) -> ManagedProcess:
        """Start the daemon of a host, or start it again."""
        known = self.processes.by_name.get(host.name)
        if known is not None:
            known.start()
            return known
        digest = hashlib.sha256(self.operator_token.encode()).hexdigest()
        settings = {
            "HOST": host.name,
            "REGION": host.region,
            "FAILURE_DOMAIN": host.failure_domain,
            "ADDRESS": LOOPBACK,
            "CALLER_PORT": str(host.caller_port),
            "OPERATOR_PORT": str(host.caller_port + 1),
            "PEER_PORT": str(host.caller_port + 2),
            "PLATFORM_URL": self.platform_url,
            "PLATFORM_TOKEN": self._token,
            "OPERATOR_TOKENS": f"operator={digest}",
        }
        environment = {f"FLAMINGOLADDER_{name}": value for name, value in settings.items()}
        return self.processes.start(host.name, "daemon", environment=environment)

    async def wait_until_ready(self, host: LocalHost) -> None:
        """Return once the host is ready for callers.

        :raises TimeoutError: if that takes too long.
        """
        async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                if await _is_ok(session, f"{host.caller_url}/health/ready"):
                    return
                await asyncio.sleep(POLL_S)

    async def wait_until_serving(self, key: str) -> None:
        """Return once every host runs requests of ``key``.

        A host that has just started may use its slots only when no earlier owner can: after the
        term of a proof and the longest deadline.

        :raises TimeoutError: if that takes too long.
        """
        service = next(iter(self.deployment.services))
        headers = {"Authorization": f"Bearer {key}"}
        async with (
            asyncio.timeout(SERVING_TIMEOUT_S),
            aiohttp.ClientSession(headers=headers) as own,
        ):
            for host in self.hosts:
                url = f"{host.caller_url}/services/{service}/items/1"
                while True:
                    if await _is_ok(own, url):
                        break
                    await asyncio.sleep(POLL_S)

    async def grant(self, workspace: str) -> KeyReply:
        """Return a new key of the workspace."""
        return await self.operate(Call("POST", "/v1/keys", KeyReply, KeyRequest(workspace)))

    async def operate(self, call: Call[R]) -> R:
        """Make a call of the operator API.

        :raises CallFailedError: if it is refused.
        """
        result = await self.console.send(call)
        if result.is_error():
            raise CallFailedError(str(result.error))
        return result.ok

    def changed_configuration(self, deadline_ms: int) -> bytes:
        """Return the configuration with another default deadline, in YAML."""
        defaults = {**self._document["defaults"], "deadline_ms": deadline_ms}
        return yaml.safe_dump({**self._document, "defaults": defaults}).encode()

    def upstream_control(self, service: str, index: int) -> UpstreamControl:
        """Return the control of a service's target, counted from 0."""
        return UpstreamControl(f"http://{LOOPBACK}:{self.first_ports_by_service[service] + index}")

    async def runs(self, service: str) -> RunsReport:
        """Return the runs that a service's targets have seen."""
        return await self.upstream_control(service, 0).runs()

    async def set_faults(self, faults: FaultSettings) -> None:
        """Switch faults of the platform on or off."""
        await self._platform.set_faults(faults)

    async def keep_copy(self) -> None:
        """Let the platform keep a copy of its store."""
        await self._platform.keep_copy()

    async def restore(self) -> None:
        """Let the platform's store come back from the kept copy."""
        await self._platform.restore()

    async def list_hosts(self, hosts: tuple[str, ...]) -> None:
        """Let the platform's list hold just these hosts, as live."""
        listed = tuple(ListedHost(host, HostStatus.LIVE) for host in hosts)
        await self._platform.set_hosts(HostSettings(hosts=listed))

    def _move_targets(self, port: int) -> dict[str, int]:
        first_ports = {}
        for name, service in self._document["services"].items():
            first_ports[name] = port
            for target in service["targets"].values():
                target["address"] = f"{LOOPBACK}:{port}"
                port += 1
        return first_ports

    def _place_hosts(self, first_port: int) -> tuple[LocalHost, ...]:
        regions = list(self.deployment.places.regions.items())
        hosts = []
        for index in range(HOSTS):
            name, region = regions[index % len(regions)]
            domains = list(region.failure_domains)
            domain = domains[index // len(regions) % len(domains)]
            port = first_port + index * PORTS_PER_HOST
            hosts.append(LocalHost(f"host-{index + 1}", name, domain, port))
        return tuple(hosts)

    def _start_platform(self) -> None:
        port = self.platform_url.rpartition(":")[2]
        environment = {"FLAMINGOLADDER_PLATFORM_TOKEN": self._token}
        self.processes.start(PLATFORM, "standin-platform", "--port", port, environment=environment)

    def _start_upstreams(self, service: str) -> None:
        self.processes.start(
            service,
            "standin-upstreams",
            "--first-port",
            str(self.first_ports_by_service[service]),
            "--count",
            str(len(self.deployment.services[service].targets)),
            "--service",
            service,
            *self._upstream_arguments,
        )


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.ok
    except aiohttp.ClientError:
        return False
