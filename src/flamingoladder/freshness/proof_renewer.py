"""Renews the proof by reading the store or, in an outage, by confirmations of a majority."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.freshness import guards
from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.freshness.confirmations import Confirmations
from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.freshness.head import decode_head
from flamingoladder.freshness.messages import HeadReply
from flamingoladder.freshness.messages import HeadRequest
from flamingoladder.freshness.messages import IntentStatusReply
from flamingoladder.freshness.messages import IntentStatusRequest
from flamingoladder.freshness.store_trust import StoreTrust
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.confirmations import Replies
    from flamingoladder.freshness.head import Head
    from flamingoladder.freshness.head_storage import HeadStorage
    from flamingoladder.freshness.head_storage import StoredHead
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.local_state import OpenIntent
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.recorder import Recorder


class ProofRenewer:
    """The task that renews one host's proof and installs newer versions."""

    __slots__ = (
        "_confirmations",
        "_diverged",
        "_links",
        "_local_state",
        "_recorder",
        "_settings",
        "_storage",
        "_stored_version",
        "_trust",
        "store_unavailable",
    )

    def __init__(
        self,
        local_state: LocalState,
        storage: HeadStorage,
        links: PeerLinks,
        last_contact: LastContact,
        recorder: Recorder,
        settings: FreshnessSettings,
    ) -> None:
        self._local_state = local_state
        self._confirmations = Confirmations(local_state, links, last_contact, recorder, settings)
        self._storage = storage
        self._links = links
        self._recorder = recorder
        self._settings = settings
        self.store_unavailable = False
        self._stored_version = NO_STATE_VERSION
        self._trust = StoreTrust()
        self._diverged: StoredHead | None = None

    async def run(self) -> None:
        """Renew the proof every ``poll_s`` seconds until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await self.renew()
            await self._confirm_division()
            await self._check_old_intents(loop.time())
            await asyncio.sleep(max(0.0, started_at + self._settings.poll_s - loop.time()))

    async def renew(self) -> None:
        """Renew the proof once; ask peers in parallel if the store was unavailable last time."""
        if self.store_unavailable:
            await asyncio.gather(self._read_store(), self._collect_confirmations())
            return
        await self._read_store()
        if self._needs_confirmations:
            await self._collect_confirmations()

    @property
    def _needs_confirmations(self) -> bool:
        """Return whether the store's head alone does not tell which keys are in force."""
        is_trusted = self._trust.is_trusted and not self._local_state.doubted_keys
        return self.store_unavailable or not is_trusted

    async def install(self, head: Head, source: str | None = None) -> bool:
        """Install ``head`` if it is newer; return whether this host has it or a newer one.

        ``source`` is the host that sent it, None for the store.
        """
        self._local_state.observe_version(head.version)
        if not guards.may_install(head.version, self._local_state.installed):
            return True
        try:
            state = await self._storage.load(head, source)
        except StateUnreadableError as error:
            self._recorder.record("state.unreadable", version=head.version, error=error)
            return False
        self.install_state(head, state)
        return True

    async def install_encoded(self, encoded: bytes, source: str) -> None:
        """Install the head received from the host ``source`` if it is newer and readable."""
        try:
            head = decode_head(encoded)
        except StateUnreadableError as error:
            self._recorder.record("state.unreadable", source=source, error=error)
            return
        await self.install(head, source)

    def install_state(self, head: Head, state: AgreedState) -> None:
        """Install ``state`` if it is newer."""
        if self._local_state.install(head, state, asyncio.get_running_loop().time()):
            self._recorder.record("state.installed", version=head.version)

    async def _read_store(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        installed = self._local_state.installed
        try:
            stored = await self._storage.read()
        except (PlatformError, StateUnreadableError) as error:
            self._record_store_availability(True, str(error))
            return
        self._record_store_availability(False, "")
        self._observe_era(stored.era)
        version = self._stored_version = stored.head.version if stored.head else NO_STATE_VERSION
        if version < installed:
            self._recorder.record("store.reverted", version=version, installed=installed)
            self._trust.lose()
            await self.put_back(stored)
            return
        if stored.head is None or not await self.install(stored.head):
            return
        if stored.head.change_id != self._local_state.change_id:
            if version == self._local_state.installed:
                self._note_divergence(stored)
            return
        self._diverged = None
        self._local_state.note_stored(version, stored.era)
        if self._trust.is_trusted:
            self._local_state.renew_proof(version, asked_at, frozenset())

    def _note_divergence(self, stored: StoredHead) -> None:
        """Note that the store has another content of the installed version."""
        self._trust.lose()
        if self._diverged is None:
            self._recorder.record("store.diverged", version=self._local_state.installed)
        self._diverged = stored

    async def _resolve_divergence(
        self, diverged: StoredHead, replies_by_host: Replies, *, confirmed: bool
    ) -> None:
        """Let the majority's content of the installed version replace the other."""
        if confirmed:
            await self.put_back(diverged)
            return
        head, members_by_host = diverged.head, self._local_state.members_by_host
        if head is None or head.version != self._local_state.installed:
            return
        hosts = {
            host
            for host, reply in replies_by_host.items()
            if (reply.version, reply.change_id) == (head.version, head.change_id)
        }
        if not guards.has_majority(hosts, members_by_host):
            return
        try:
            state = await self._storage.load(head)
        except StateUnreadableError as error:
            self._recorder.record("state.unreadable", version=head.version, error=error)
            return
        self._local_state.replace_diverged(head, state, asyncio.get_running_loop().time())
        self._recorder.record("state.replaced", version=head.version, change=head.change_id)

    async def put_back(self, stored: StoredHead) -> None:
        """Write the installed head over an older one that the store came back with.

        Several hosts may try at once, as the older one must be unchanged; versions only rise.
        """
        head = self._local_state.head
        if head is None:
            return
        found = stored.head.version if stored.head else NO_STATE_VERSION
        try:
            commit = await self._storage.put_back(stored, head)
        except PlatformError as error:
            self._recorder.record("store.not_put_back", version=head.version, error=error)
            return
        self._recorder.record(
            "store.put_back", version=head.version, found=found, applied=commit.committed
        )

    def _observe_era(self, era: int) -> None:
        era_before = self._trust.era
        went_back = self._trust.observe(era)
        self._local_state.era = self._trust.era
        self._local_state.observe_era(era)
        if went_back:
            installed = self._local_state.installed
            self._recorder.record(
                "store.went_back", era=era, era_before=era_before, installed=installed
            )

    def _record_store_availability(self, unavailable: bool, error: str) -> None:
        if unavailable != self.store_unavailable:
            kind = "store.unavailable" if unavailable else "store.available"
            self._recorder.record(kind, error=error)
        self.store_unavailable = unavailable

    async def _collect_confirmations(self) -> None:
        local_state = self._local_state
        if local_state.state is None:
            await self._fetch_head(tuple(self._links.hosts))
            return
        asked_at = asyncio.get_running_loop().time()
        asked_in_era = self._trust.era
        version = local_state.installed
        replies_by_host = await self._confirmations.ask(version)
        hosts_with_newer = tuple(
            host for host, reply in replies_by_host.items() if reply.version > version
        )
        if hosts_with_newer:
            await self._fetch_head(hosts_with_newer)
            return
        suspended_keys = self._confirmations.suspended_keys(version, replies_by_host)
        is_confirmed = suspended_keys is not None
        if suspended_keys is not None:
            local_state.renew_proof(version, asked_at, suspended_keys)
        if self._diverged is not None:
            await self._resolve_divergence(self._diverged, replies_by_host, confirmed=is_confirmed)
        elif is_confirmed and self._stored_version == version and asked_in_era is not None:
            self._confirm_era(asked_in_era, replies_by_host)

    def _confirm_era(self, era: int, replies_by_host: Replies) -> None:
        """Trust the store's head from now on, but not for keys whose withdrawal may be lost.

        Each majority has a host that acknowledged such a withdrawal, until its outcome is known.
        """
        suspended = [reply.suspended_keys for reply in replies_by_host.values()]
        self._local_state.doubt_keys(
            self._local_state.suspended_keys | frozenset().union(*suspended)
        )
        self._trust.confirm(era)

    async def _confirm_division(self) -> None:
        """Announce the current division to the other hosts and count those that know it."""
        local_state = self._local_state
        if local_state.state is None or local_state.division_is_known:
            return
        version = local_state.installed
        replies_by_host = await self._confirmations.ask(version)
        hosts_that_know = self._confirmations.hosts_that_know(version, replies_by_host)
        local_state.confirm_division(version, hosts_that_know, asyncio.get_running_loop().time())

    async def _fetch_head(self, hosts: tuple[str, ...]) -> None:
        requests = (
            self._links.request(host, HeadRequest(), self._settings.peer_timeout_s)
            for host in hosts
        )
        replies = zip(hosts, await asyncio.gather(*requests), strict=True)
        for host, reply in replies:
            if isinstance(reply, HeadReply) and reply.head is not None:
                await self.install_encoded(reply.head, host)

    async def _check_old_intents(self, now: float) -> None:
        intents = tuple(self._local_state.intents_by_change.values())
        other_intents = [
            intent for intent in intents if intent.host != self._local_state.member.host
        ]
        old_intents = [
            intent for intent in other_intents if now >= intent.since + self._settings.poll_s
        ]
        await asyncio.gather(*(self._check_intent(intent) for intent in old_intents))

    async def _check_intent(self, intent: OpenIntent) -> None:
        request = IntentStatusRequest(intent.change_id)
        reply = await self._links.request(intent.host, request, self._settings.peer_timeout_s)
        if not isinstance(reply, IntentStatusReply) or reply.open:
            return
        if reply.incarnation == intent.incarnation:
            self._local_state.close_intent(intent.change_id)
