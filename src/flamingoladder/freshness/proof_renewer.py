"""Renews the proof: by reading the store or, without it, by the vouches of a majority."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.freshness import guards
from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.freshness.head import decode_head
from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.freshness.messages import HeadReply
from flamingoladder.freshness.messages import HeadRequest
from flamingoladder.freshness.messages import IntentStatusReply
from flamingoladder.freshness.messages import IntentStatusRequest
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.head import Head
    from flamingoladder.freshness.head_storage import HeadStorage
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.local_state import OpenIntent
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.recorder import Recorder


class ProofRenewer:
    """The task that keeps one host's knowledge fresh."""

    __slots__ = (
        "_knowledge",
        "_links",
        "_recorder",
        "_settings",
        "_silence",
        "_storage",
        "store_is_out",
    )

    def __init__(
        self,
        knowledge: LocalState,
        storage: HeadStorage,
        links: PeerLinks,
        silence: LastContact,
        recorder: Recorder,
        settings: FreshnessSettings,
    ) -> None:
        self._knowledge = knowledge
        self._storage = storage
        self._links = links
        self._silence = silence
        self._recorder = recorder
        self._settings = settings
        self.store_is_out = False

    async def run(self) -> None:
        """Renew the proof at every interval, for good."""
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            await self.renew()
            await self._confirm_division()
            await self._ask_about_intents(loop.time())
            await asyncio.sleep(max(0.0, started + self._settings.poll_s - loop.time()))

    async def renew(self) -> None:
        """Renew the proof once, with the peers at once where the store was out the last time."""
        if self.store_is_out:
            await asyncio.gather(self._read_store(), self._gather_vouches())
            return
        await self._read_store()
        if self.store_is_out:
            await self._gather_vouches()

    async def install(self, head: Head, source: str | None = None) -> bool:
        """Put ``head`` in force if it is newer; return whether this host has it or a newer one.

        ``source`` is the host that sent it, None for the store.
        """
        self._knowledge.learn_of(head.version)
        if not guards.may_install(head.version, self._knowledge.installed):
            return True
        try:
            state = await self._storage.load(head, source)
        except StateUnreadableError as error:
            self._recorder.record("state.unreadable", version=head.version, error=error)
            return False
        self.take(head, state)
        return True

    async def install_encoded(self, encoded: bytes, source: str) -> None:
        """Put the head that the host ``source`` sent in force, if it is newer and readable."""
        try:
            head = decode_head(encoded)
        except StateUnreadableError as error:
            self._recorder.record("state.unreadable", source=source, error=error)
            return
        await self.install(head, source)

    def take(self, head: Head, state: AgreedState) -> None:
        """Put ``state`` in force if it is newer."""
        if self._knowledge.install(head, state, asyncio.get_running_loop().time()):
            self._recorder.record("state.installed", version=head.version)

    async def _read_store(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        installed = self._knowledge.installed
        try:
            stored = await self._storage.read()
        except (PlatformError, StateUnreadableError) as error:
            self._note_store(True, str(error))
            return
        self._note_store(False, "")
        version = stored.head.version if stored.head else NO_STATE_VERSION
        if version < installed:
            self._recorder.record("store.reverted", version=version, installed=installed)
            return
        if stored.head is None or not await self.install(stored.head):
            return
        self._knowledge.renew(version, asked_at, frozenset())

    def _note_store(self, is_out: bool, error: str) -> None:
        if is_out != self.store_is_out:
            kind = "store.unavailable" if is_out else "store.available"
            self._recorder.record(kind, error=error)
        self.store_is_out = is_out

    async def _gather_vouches(self) -> None:
        knowledge = self._knowledge
        if knowledge.state is None:
            await self._fetch_head(tuple(self._links.hosts))
            return
        asked_at = asyncio.get_running_loop().time()
        version = knowledge.installed
        members_by_host = knowledge.members_by_host
        others = [host for host in members_by_host if host != knowledge.member.host]
        replies = await asyncio.gather(*(self._ask_for_vouch(host, version) for host in others))
        replies_by_host = {
            host: reply for host, reply in zip(others, replies, strict=True) if reply
        }
        newer = tuple(host for host, reply in replies_by_host.items() if reply.version > version)
        if newer:
            await self._fetch_head(newer)
            return
        self._count_vouches(version, asked_at, replies_by_host)

    def _count_vouches(
        self, version: int, asked_at: float, replies_by_host: dict[str, ConfirmReply]
    ) -> None:
        knowledge = self._knowledge
        if knowledge.installed != version:
            return
        members_by_host = knowledge.members_by_host
        vouching = {
            host: frozenset(reply.suspended_keys)
            for host, reply in replies_by_host.items()
            if reply.confirmed
            and guards.may_count_confirmation(reply.incarnation, members_by_host[host])
        }
        if knowledge.is_registered and knowledge.may_vouch(version):
            vouching[knowledge.member.host] = knowledge.suspended_keys
        if knowledge.known > version or not guards.has_majority(vouching, members_by_host):
            return
        knowledge.renew(version, asked_at, frozenset().union(*vouching.values()))

    async def _confirm_division(self) -> None:
        """Ask the other hosts whether they know of the present division; that tells them of it."""
        knowledge = self._knowledge
        if knowledge.state is None or knowledge.division_is_known:
            return
        version = knowledge.installed
        others = [host for host in knowledge.members_by_host if host != knowledge.member.host]
        replies = await asyncio.gather(*(self._ask_for_vouch(host, version) for host in others))
        answers = zip(others, replies, strict=True)
        known_on = {host for host, reply in answers if reply and reply.version >= version}
        known_on.add(knowledge.member.host)
        knowledge.confirm_division(version, known_on, asyncio.get_running_loop().time())

    async def _ask_for_vouch(self, host: str, version: int) -> ConfirmReply | None:
        reply = await self._links.ask(host, ConfirmRequest(version), self._settings.peer_timeout_s)
        if not isinstance(reply, ConfirmReply):
            return None
        self._silence.record(host, asyncio.get_running_loop().time())
        self._knowledge.learn_of(reply.version)
        return reply

    async def _fetch_head(self, hosts: tuple[str, ...]) -> None:
        asks = (
            self._links.ask(host, HeadRequest(), self._settings.peer_timeout_s) for host in hosts
        )
        replies = zip(hosts, await asyncio.gather(*asks), strict=True)
        for host, reply in replies:
            if isinstance(reply, HeadReply) and reply.head is not None:
                await self.install_encoded(reply.head, host)

    async def _ask_about_intents(self, now: float) -> None:
        intents = tuple(self._knowledge.intents_by_change.values())
        others = [intent for intent in intents if intent.host != self._knowledge.member.host]
        old = [intent for intent in others if now >= intent.since + self._settings.poll_s]
        await asyncio.gather(*(self._ask_about(intent) for intent in old))

    async def _ask_about(self, intent: OpenIntent) -> None:
        question = IntentStatusRequest(intent.change_id)
        answer = await self._links.ask(intent.host, question, self._settings.peer_timeout_s)
        if not isinstance(answer, IntentStatusReply) or answer.open:
            return
        if answer.incarnation == intent.incarnation:
            self._knowledge.close_intent(intent.change_id)
