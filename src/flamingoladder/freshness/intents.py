"""Announces a change to the registered hosts before it is committed."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.freshness import guards
from flamingoladder.freshness.local_state import OpenIntent
from flamingoladder.freshness.messages import Intent
from flamingoladder.freshness.messages import IntentAborted
from flamingoladder.freshness.messages import IntentReply
from flamingoladder.members.directory import read_directory
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.freshness.tasks import BackgroundTasks
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.table import TableService


class IntentEnd(StrEnum):
    """How a round of acknowledgements ended."""

    MAJORITY = "majority"
    TOO_FEW = "too_few"
    OUTDATED = "outdated"


class _Answer(msgspec.Struct, frozen=True):
    """A host's reply; ``reply`` is None if none came in time."""

    host: str
    reply: IntentReply | None


class IntentRound:
    """Collects acknowledgements of intents."""

    __slots__ = ("_knowledge", "_links", "_settings", "_silence", "_table", "_tasks")

    def __init__(
        self,
        knowledge: LocalState,
        table: TableService,
        links: PeerLinks,
        silence: LastContact,
        settings: FreshnessSettings,
        tasks: BackgroundTasks,
    ) -> None:
        self._knowledge = knowledge
        self._table = table
        self._links = links
        self._silence = silence
        self._settings = settings
        self._tasks = tasks

    async def run(self, intent: Intent, members_by_host: Mapping[str, Member]) -> IntentEnd:
        """Announce ``intent`` to all registered hosts and wait for a majority of them."""
        own = self._knowledge.member.host
        if not self._open_own(intent):
            return IntentEnd.OUTDATED
        acknowledged = {own}
        others = (host for host in members_by_host if host != own)
        asks = [self._tasks.start(self._ask(host, intent)) for host in others]
        for answered in asyncio.as_completed(asks):
            answer = await answered
            if answer.reply is None:
                continue
            if not answer.reply.acknowledged:
                return IntentEnd.OUTDATED
            acknowledged.add(answer.host)
            if guards.has_majority(acknowledged, members_by_host):
                return IntentEnd.MAJORITY
        return await self._count(acknowledged, members_by_host)

    def withdraw(self, change_id: str, hosts: Iterable[str]) -> None:
        """Tell all hosts that the change has not been committed and won't be."""
        self._knowledge.close_intent(change_id)
        for host in hosts:
            if host != self._knowledge.member.host:
                self._links.tell(host, IntentAborted(change_id))

    async def _count(
        self, acknowledged: set[str], members_by_host: Mapping[str, Member]
    ) -> IntentEnd:
        if not guards.has_majority(acknowledged, members_by_host):
            acknowledged |= await self._restarted(members_by_host)
        enough = guards.has_majority(acknowledged, members_by_host)
        return IntentEnd.MAJORITY if enough else IntentEnd.TOO_FEW

    def _open_own(self, intent: Intent) -> bool:
        member = self._knowledge.member
        opened = OpenIntent(
            intent.change_id,
            intent.base_version,
            intent.suspended_key,
            member.host,
            member.incarnation,
            asyncio.get_running_loop().time(),
        )
        return self._knowledge.open_intent(opened)

    async def _ask(self, host: str, intent: Intent) -> _Answer:
        reply = await self._links.ask(host, intent, self._settings.peer_timeout_s)
        if not isinstance(reply, IntentReply):
            return _Answer(host, None)
        self._silence.record(host, asyncio.get_running_loop().time())
        self._knowledge.learn_of(reply.version)
        return _Answer(host, reply)

    async def _restarted(self, members_by_host: Mapping[str, Member]) -> set[str]:
        """Return the hosts whose registered incarnation is dead: it remembers and says nothing."""
        try:
            directory = await read_directory(self._table, self._settings.store_timeout_s)
        except PlatformError:
            return set()
        return {
            host
            for host, member in members_by_host.items()
            if host in directory and directory[host].incarnation != member.incarnation
        }
