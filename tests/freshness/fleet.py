"""State replicas of several hosts in one process, with partitions, outages and restarts."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from msgspec.structs import replace

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.config.model import Defaults
from flamingoladder.config.model import Delays
from flamingoladder.config.model import Deployment
from flamingoladder.config.model import FailureDomain
from flamingoladder.config.model import Link
from flamingoladder.config.model import Places
from flamingoladder.config.model import Region
from flamingoladder.config.model import Workspace
from flamingoladder.freshness.settings import FreshnessSettings
from flamingoladder.freshness.state_replica import StateReplica
from flamingoladder.keys.changes import GrantKey
from flamingoladder.members.member import Member
from flamingoladder.standins.memory import Faults
from flamingoladder.standins.memory import MemoryHostList
from flamingoladder.standins.memory import MemoryObjects
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.network import Network
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.freshness.changes import Change
    from flamingoladder.freshness.commit_results import CommitRefused
    from flamingoladder.freshness.commit_results import CommitReport
    from flamingoladder.timeline.events import Event

SETTINGS = FreshnessSettings()
PROOF_S = Defaults().proof_s
WAIT_S = PROOF_S * (1 + Defaults().clock_drift)
PEER_DELAY_S = 0.02

DEPLOYMENT = Deployment(
    name="test",
    places=Places(
        regions={"north": Region(failure_domains={"n1": FailureDomain()})},
        delays=Delays(between_domains_ms=1.0, between_regions_ms=20.0, to_clients_ms=8.0),
        link=Link(mbit_per_s=100.0),
        store_region="north",
    ),
    services={},
    workspaces={"camp": Workspace()},
)
KEY = KeyGrant("k1", "camp", "d1")


def renamed(name: str) -> Deployment:
    """Return ``DEPLOYMENT`` under another name."""
    return replace(DEPLOYMENT, name=name)


class Fleet:
    """State replicas by host, over one table, object store, host list and network."""

    def __init__(self, size: int, seed: int = 1, delay_s: float = PEER_DELAY_S) -> None:
        self.hosts = [f"h{number}" for number in range(1, size + 1)]
        self.network = Network(Random(seed), delay_s)
        self.stored_table = StoredTable()
        self.content_by_name: dict[str, bytes] = {}
        listed = tuple(ListedHost(host, HostStatus.LIVE) for host in self.hosts)
        self.host_list = MemoryHostList(listed)
        self.faults_by_host = {host: Faults() for host in self.hosts}
        self.replicas_by_host: dict[str, StateReplica] = {}
        self.start_count = 0
        self.bootstrap_revision = 0
        self.events: list[Event] = []

    @property
    def first_replica(self) -> StateReplica:
        """Return the replica of the first host."""
        return self.replicas_by_host[self.hosts[0]]

    @property
    def now(self) -> float:
        """Return the event loop's injected time in seconds."""
        return asyncio.get_running_loop().time()

    def start(self, host: str) -> StateReplica:
        """Start a new incarnation of ``host``."""
        self.start_count += 1
        incarnation = f"i{self.start_count}"
        member = Member(host, "north", "n1", incarnation, "", "", "")
        faults = self.faults_by_host[host]
        recorder = Recorder(host, incarnation)
        recorder.events.subscribe(self.events.append)
        replica = StateReplica.from_config(
            SETTINGS,
            member,
            MemoryTable(self.stored_table, faults),
            MemoryObjects(self.content_by_name, faults),
            self.host_list,
            self.network.join(host, incarnation),
            recorder,
        )
        replica.start()
        self.replicas_by_host[host] = replica
        return replica

    async def kill(self, host: str) -> None:
        """Stop the host's daemon without deregistering it."""
        self.network.leave(host)
        await self.replicas_by_host.pop(host).close()

    async def bootstrap(self) -> None:
        """Start all hosts, apply a configuration, grant a key and wait for the registrations."""
        for host in self.hosts:
            self.start(host)
        await self.commit(ApplyConfiguration(0, DEPLOYMENT))
        await self.wait_until(lambda: all(replica.is_registered for replica in self.replicas))
        await self.commit(GrantKey(KEY))
        self.bootstrap_revision = self.stored_table.rows_by_key["head"].revision

    @property
    def replicas(self) -> list[StateReplica]:
        """Return the replicas of the running hosts."""
        return list(self.replicas_by_host.values())

    async def wait_until(self, condition: Callable[[], bool], within_s: float = 20.0) -> float:
        """Wait for ``condition`` and return for how long, in seconds."""
        started_at = self.now
        while not condition():
            assert self.now < started_at + within_s, "the condition did not become true in time"
            await asyncio.sleep(0.01)
        return self.now - started_at

    def event_kinds(self) -> set[str]:
        """Return the kinds of all events so far."""
        return {event.kind for event in self.events}

    async def commit(self, change: Change, host: str = "h1") -> CommitReport:
        """Commit ``change`` through ``host``."""
        result = await self.replicas_by_host[host].commit(change)
        assert result.is_ok(), result
        return result.ok

    async def commit_refused(self, change: Change, host: str = "h1") -> CommitRefused:
        """Commit ``change`` through ``host``, which must refuse it."""
        result = await self.replicas_by_host[host].commit(change)
        assert result.is_error(), result
        return result.error

    def cut_peers(self, host: str) -> None:
        """Cut the links between ``host`` and all other hosts."""
        self.cut([host], [other for other in self.hosts if other != host])

    def cut(self, group: list[str], other_group: list[str]) -> None:
        """Cut the links between two groups of hosts."""
        pairs = {(host, other) for host in group for other in other_group}
        self.network.cuts |= pairs | {(other, host) for host, other in pairs}

    def cut_store(self, hosts: list[str], down: bool = True) -> None:
        """Cut ``hosts`` off from the store, or reconnect them if ``down`` is false."""
        for host in hosts:
            self.faults_by_host[host].down = down

    def state(self, host: str) -> AgreedState:
        """Return the state in force on ``host``."""
        state = self.replicas_by_host[host].current
        assert state is not None
        return state

    def serves_any(self, host: str) -> bool:
        """Return whether ``host`` would now run any keyed request."""
        return self.replicas_by_host[host].has_proof(self.now)

    def serves(self, host: str, key_id: str = KEY.key_id) -> bool:
        """Return whether ``host`` would now run a request with the key."""
        replica = self.replicas_by_host.get(host)
        if replica is None or replica.current is None or not replica.has_proof(self.now):
            return False
        grants_by_id = {grant.key_id: grant for grant in replica.current.grants}
        return key_id in grants_by_id and not grants_by_id[key_id].withdrawn
