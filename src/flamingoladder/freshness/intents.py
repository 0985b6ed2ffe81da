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


class IntentOutcome(StrEnum):
    """The outcome of announcing an intent: whether enough hosts acknowledged it."""

    MAJORITY = "majority"
    TOO_FEW = "too_few"
    OUTDATED = "outdated"


class _HostReply(msgspec.Struct, frozen=True):
    """A host's reply; ``reply`` is None if none came in time."""

    host: str
    reply: IntentReply | None


class IntentAnnouncer:
    """Announces intents and collects their acknowledgements."""

    __slots__ = ("_last_contact", "_links", "_local_state", "_settings", "_table", "_tasks")

    def __init__(
        self,
        local_state: LocalState,
        table: TableService,
        links: PeerLinks,
        last_contact: LastContact,
        settings: FreshnessSettings,
        tasks: BackgroundTasks,
    ) -> None:
        self._local_state = local_state
        self._table = table
        self._links = links
        self._last_contact = last_contact
        self._settings = settings
        self._tasks = tasks

    async def run(self, intent: Intent, members_by_host: Mapping[str, Member]) -> IntentOutcome:
        """Announce ``intent`` to all registered hosts and wait until a majority acknowledges it."""
        own_host = self._local_state.member.host
        if not self._open_own_intent(intent):
            return IntentOutcome.OUTDATED
        acknowledged = {own_host}
        other_hosts = (host for host in members_by_host if host != own_host)
        requests = [
            self._tasks.start(self._request_acknowledgement(host, intent)) for host in other_hosts
        ]
        for completed in asyncio.as_completed(requests):
            host_reply = await completed
            if host_reply.reply is None:
                continue
            if not host_reply.reply.acknowledged:
                return IntentOutcome.OUTDATED
            acknowledged.add(host_reply.host)
            if guards.has_majority(acknowledged, members_by_host):
                return IntentOutcome.MAJORITY
        return await self._final_outcome(acknowledged, members_by_host)

    def abort(self, change_id: str, hosts: Iterable[str]) -> None:
        """Notify ``hosts`` that the change has not been committed and won't be."""
        self._local_state.close_intent(change_id)
        for host in hosts:
            if host != self._local_state.member.host:
                self._links.send(host, IntentAborted(change_id))

    async def _final_outcome(
        self, acknowledged: set[str], members_by_host: Mapping[str, Member]
    ) -> IntentOutcome:
        if not guards.has_majority(acknowledged, members_by_host):
            acknowledged |= await self._restarted_hosts(members_by_host)
        enough = guards.has_majority(acknowledged, members_by_host)
        return IntentOutcome.MAJORITY if enough else IntentOutcome.TOO_FEW

    def _open_own_intent(self, intent: Intent) -> bool:
        member = self._local_state.member
        own_intent = OpenIntent(
            intent.change_id,
            intent.base_version,
            intent.suspended_key,
            member.host,
            member.incarnation,
            asyncio.get_running_loop().time(),
        )
        return self._local_state.open_intent(own_intent)

    async def _request_acknowledgement(self, host: str, intent: Intent) -> _HostReply:
        reply = await self._links.request(host, intent, self._settings.peer_timeout_s)
        if not isinstance(reply, IntentReply):
            return _HostReply(host, None)
        self._last_contact.record(host, asyncio.get_running_loop().time())
        self._local_state.observe_version(reply.version)
        return _HostReply(host, reply)

    async def _restarted_hosts(self, members_by_host: Mapping[str, Member]) -> set[str]:
        """Return the hosts whose registered incarnation has been replaced by a newer one.

        They count as acknowledged: a dead incarnation can neither use nor confirm a proof.
        """
        try:
            directory = await read_directory(self._table, self._settings.store_timeout_s)
        except PlatformError:
            return set()
        return {
            host
            for host, member in members_by_host.items()
            if host in directory and directory[host].incarnation != member.incarnation
        }
