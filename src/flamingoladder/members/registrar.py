"""Registers this host's incarnation and removes dead hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.members.changes import MarkLeaving
from flamingoladder.members.changes import RegisterMember
from flamingoladder.members.changes import RemoveMember
from flamingoladder.members.directory import delete_entry
from flamingoladder.members.directory import read_entries
from flamingoladder.members.directory import write_entry
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.hostlist import HostStatus

if TYPE_CHECKING:
    from flamingoladder.freshness.committer import Committer
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.storage.hostlist import HostList
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

CHECK_INTERVAL_S = 2.0


class Registrar:
    """The task that keeps this host registered and removes dead ones."""

    __slots__ = (
        "_committer",
        "_entry_era",
        "_host_list",
        "_last_contact",
        "_links",
        "_local_state",
        "_recorder",
        "_settings",
        "_table",
        "is_leaving",
    )

    def __init__(
        self,
        local_state: LocalState,
        committer: Committer,
        table: TableService,
        host_list: HostList,
        links: PeerLinks,
        last_contact: LastContact,
        recorder: Recorder,
        settings: FreshnessSettings,
    ) -> None:
        self._local_state = local_state
        self._committer = committer
        self._table = table
        self._host_list = host_list
        self._links = links
        self._last_contact = last_contact
        self._recorder = recorder
        self._settings = settings
        self.is_leaving = False
        self._entry_era = 0

    async def run(self) -> None:
        """Write the directory entry, register, then remove dead hosts until this host leaves."""
        await self._write_entry()
        while not self.is_leaving:
            if self._table.era != self._entry_era:
                await self._write_entry()
            if not self._local_state.is_registered:
                await self._register()
                await asyncio.sleep(self._settings.poll_s)
                continue
            await self._remove_dead_hosts()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def mark_leaving(self) -> bool:
        """Commit that this host is leaving; return whether that is committed."""
        self.is_leaving = True
        result = await self._committer.commit(MarkLeaving(self._local_state.member.host))
        return result.is_ok()

    async def deregister(self) -> bool:
        """Commit the removal of this host's registration; return whether that is committed."""
        self.is_leaving = True
        member = self._local_state.member
        result = await self._committer.commit(RemoveMember(member.host, member.incarnation))
        if result.is_error():
            return False
        await self._delete_entry(member)
        return True

    async def _write_entry(self) -> None:
        while True:
            if await self._try_write_entry():
                return
            await asyncio.sleep(self._settings.poll_s)

    async def _try_write_entry(self) -> bool:
        member = self._local_state.member
        try:
            is_written = await write_entry(self._table, member, self._settings.store_timeout_s)
        except PlatformError:
            return False
        self._entry_era = self._table.era
        return is_written

    async def _delete_entry(self, member: Member) -> None:
        try:
            await delete_entry(self._table, member, self._settings.store_timeout_s)
        except PlatformError as error:
            self._recorder.record("member.row_left", member=member.host, error=error)

    async def _register(self) -> None:
        if self._local_state.installed == NO_STATE_VERSION:
            return
        try:
            entries = await read_entries(self._table, self._settings.store_timeout_s)
        except PlatformError:
            return
        by_host = self._local_state.members_by_host
        changed_entries = tuple(
            entry for entry in entries if by_host.get(entry.member.host) != entry.member
        )
        change = RegisterMember(self._local_state.member, changed_entries)
        result = await self._committer.commit(change)
        if result.is_ok():
            self._recorder.record("member.registered", version=result.ok.version)

    async def _remove_dead_hosts(self) -> None:
        unlisted = await self._unlisted_hosts()
        await asyncio.gather(*(self._probe(host) for host in unlisted))
        now = asyncio.get_running_loop().time()
        for host in unlisted:
            member = self._local_state.members_by_host.get(host)
            if member and self._last_contact.elapsed_s(host, now) >= self._removal_delay_s(host):
                await self._remove_member(member)

    async def _unlisted_hosts(self) -> list[str]:
        """Return the registered hosts that the platform no longer lists as live."""
        try:
            listed = await self._host_list.read(self._settings.store_timeout_s)
        except PlatformError:
            return []
        live = {entry.host for entry in listed if entry.status is HostStatus.LIVE}
        own_host = self._local_state.member.host
        return [host for host in self._local_state.members_by_host if host not in {own_host, *live}]

    async def _probe(self, host: str) -> None:
        request = ConfirmRequest(self._local_state.installed)
        reply = await self._links.request(host, request, self._settings.peer_timeout_s)
        if isinstance(reply, ConfirmReply):
            self._last_contact.record(host, asyncio.get_running_loop().time())

    def _removal_delay_s(self, dead: str) -> float:
        """Return the seconds without contact after which this host removes ``dead``.

        The delay rises with the position of this host among the sorted hosts, so that they try one
        after another.
        """
        own_host = self._local_state.member.host
        hosts = sorted(host for host in self._local_state.members_by_host if host != dead)
        position = hosts.index(own_host) if own_host in hosts else len(hosts)
        return self._settings.dead_after_s + position * CHECK_INTERVAL_S

    async def _remove_member(self, member: Member) -> None:
        result = await self._committer.commit(RemoveMember(member.host, member.incarnation))
        if result.is_error():
            return
        self._recorder.record("member.removed", member=member.host)
        await self._delete_entry(member)
