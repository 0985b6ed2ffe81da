"""One host's replica of the agreed state, with its proof and its commits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.config.agreed import StateInForce
from flamingoladder.freshness.announcer import Announcer
from flamingoladder.freshness.commit_attempt import CommitAttempts
from flamingoladder.freshness.committer import Committer
from flamingoladder.freshness.handlers import FreshnessHandlers
from flamingoladder.freshness.head_storage import HeadStorage
from flamingoladder.freshness.intents import IntentAnnouncer
from flamingoladder.freshness.local_state import LocalState
from flamingoladder.freshness.proof_renewer import ProofRenewer
from flamingoladder.freshness.status import gather_status
from flamingoladder.freshness.tasks import BackgroundTasks
from flamingoladder.members.last_contact import LastContact
from flamingoladder.members.registrar import Registrar

if TYPE_CHECKING:
    from expression import Result
    from reactivex import Observable

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.changes import Change
    from flamingoladder.freshness.commit_results import CommitRefused
    from flamingoladder.freshness.commit_results import CommitReport
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.freshness.status import FreshnessStatus
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.hostlist import HostList
    from flamingoladder.storage.objects import ObjectStore
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder


class StateReplica(StateInForce):
    """One host's replica of the agreed state.

    Start it only once the host's fixed ports are bound: that makes it certain that earlier
    incarnations of this host are dead.
    """

    __slots__ = (
        "_committer",
        "_links",
        "_local_state",
        "_registrar",
        "_renewer",
        "_settings",
        "_tasks",
    )

    def __init__(
        self,
        local_state: LocalState,
        renewer: ProofRenewer,
        committer: Committer,
        registrar: Registrar,
        links: PeerLinks,
        settings: FreshnessSettings,
        tasks: BackgroundTasks,
    ) -> None:
        self._local_state = local_state
        self._renewer = renewer
        self._committer = committer
        self._registrar = registrar
        self._links = links
        self._settings = settings
        self._tasks = tasks

    @classmethod
    def from_config(
        cls,
        settings: FreshnessSettings,
        member: Member,
        table: TableService,
        objects: ObjectStore,
        host_list: HostList,
        links: PeerLinks,
        recorder: Recorder,
    ) -> StateReplica:
        """Return the replica of ``member``; requires a running event loop."""
        now = asyncio.get_running_loop().time()
        local_state = LocalState(member)
        last_contact = LastContact(now)
        storage = HeadStorage(table, objects, links, settings)
        renewer = ProofRenewer(local_state, storage, links, last_contact, recorder, settings)
        tasks = BackgroundTasks(recorder)
        intents = IntentAnnouncer(local_state, table, links, last_contact, settings, tasks)
        attempts = CommitAttempts(local_state, storage, renewer, intents)
        announcer = Announcer(local_state, links, last_contact, settings, tasks)
        committer = Committer(local_state, attempts, intents, announcer, recorder, settings, tasks)
        registrar = Registrar(
            local_state, committer, table, host_list, links, last_contact, recorder, settings
        )
        FreshnessHandlers(local_state, storage, renewer, committer, last_contact).register(links)
        return cls(local_state, renewer, committer, registrar, links, settings, tasks)

    @property
    def changes(self) -> Observable[AgreedState]:
        """Return the stream of states, starting with the present one if there is one.

        A key whose withdrawal may have been committed is withdrawn in these states, and may come
        back, at the same version, once it is certain that the withdrawal was not committed.
        """
        return self._local_state.changes

    @property
    def current(self) -> AgreedState | None:
        """Return the newest installed state, or None before the first; see ``changes``."""
        return self._local_state.effective

    @property
    def incarnation(self) -> str:
        """Return the incarnation of this host."""
        return self._local_state.member.incarnation

    @property
    def is_registered(self) -> bool:
        """Return whether this incarnation is registered."""
        return self._local_state.is_registered

    def has_proof(self, now: float) -> bool:
        """Return whether nothing newer than the state can be in force at ``now``."""
        return self._local_state.has_proof(now)

    def division_settles_at(self) -> float:
        """Return the time from which no host can act on an earlier division."""
        return self._local_state.division_settles_at

    def start(self) -> None:
        """Start to renew the proof and to register this host."""
        self._tasks.start(self._renewer.run())
        self._tasks.start(self._registrar.run())

    async def read_newest(self) -> AgreedState | None:
        """Read the store, in an outage the other hosts, and return the newest installed state."""
        await self._renewer.renew()
        return self.current

    async def commit(self, change: Change) -> Result[CommitReport, CommitRefused]:
        """Commit ``change``; see ``CommitReport`` and ``CommitRefused``."""
        return await self._committer.commit(change)

    async def status(self) -> FreshnessStatus:
        """Return the versions in force on all reachable hosts."""
        available = not self._renewer.store_unavailable
        return await gather_status(self._local_state, self._links, self._settings, available)

    async def mark_leaving(self) -> bool:
        """Commit that this host is leaving, at the start of a graceful shutdown."""
        return await self._registrar.mark_leaving()

    async def deregister(self) -> bool:
        """Commit the removal of this host's registration, at the end of a graceful shutdown."""
        return await self._registrar.deregister()

    async def close(self) -> None:
        """Stop all tasks; the host's proof then expires."""
        await self._tasks.close()
