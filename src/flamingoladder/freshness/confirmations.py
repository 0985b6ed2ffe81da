"""Asks the other hosts whether they know of anything newer, and counts their replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.freshness import guards
from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.recorder import Recorder

Replies = dict[str, ConfirmReply]


class Confirmations:
    """Rounds of confirmations of this host's version by the other registered hosts."""

    __slots__ = ("_last_contact", "_links", "_local_state", "_recorder", "_settings")

    def __init__(
        self,
        local_state: LocalState,
        links: PeerLinks,
        last_contact: LastContact,
        recorder: Recorder,
        settings: FreshnessSettings,
    ) -> None:
        self._local_state = local_state
        self._links = links
        self._last_contact = last_contact
        self._recorder = recorder
        self._settings = settings

    async def ask(self, version: int) -> Replies:
        """Return the replies by host; a host that does not answer in time has none."""
        own_host = self._local_state.member.host
        hosts = [host for host in self._local_state.members_by_host if host != own_host]
        replies = await asyncio.gather(*(self._request(host, version) for host in hosts))
        return {host: reply for host, reply in zip(hosts, replies, strict=True) if reply}

    def suspended_keys(self, version: int, replies_by_host: Replies) -> frozenset[str] | None:
        """Return the keys that a majority which confirms the version excepts, or None without one.

        The keys may have been withdrawn nevertheless.
        """
        local_state = self._local_state
        if local_state.installed != version:
            self._recorder.record("proof.overtaken", version=version)
            return None
        keys_by_host = self._keys_by_confirming_host(version, replies_by_host)
        members_by_host = local_state.members_by_host
        if local_state.known > version or not guards.has_majority(keys_by_host, members_by_host):
            self._recorder.record(
                "proof.unconfirmed",
                version=version,
                known=local_state.known,
                replied=",".join(sorted(replies_by_host)),
                confirmed=",".join(sorted(keys_by_host)),
                members=len(members_by_host),
            )
            return None
        return frozenset().union(*keys_by_host.values())

    def hosts_that_know(self, version: int, replies_by_host: Replies) -> set[str]:
        """Return the hosts, this one included, that know the version with this host's content."""
        own_change = self._local_state.change_id
        return {self._local_state.member.host} | {
            host
            for host, reply in replies_by_host.items()
            if reply.version >= version
            and guards.acknowledged_change(version, own_change, reply.version, reply.change_id)
        }

    def _keys_by_confirming_host(
        self, version: int, replies_by_host: Replies
    ) -> Mapping[str, frozenset[str]]:
        local_state = self._local_state
        keys_by_host = {
            host: frozenset(reply.suspended_keys)
            for host, reply in replies_by_host.items()
            if reply.confirmed
            and guards.may_count_confirmation(reply.incarnation, local_state.members_by_host[host])
        }
        if local_state.is_registered and local_state.may_confirm(version):
            keys_by_host[local_state.member.host] = local_state.suspended_keys
        return keys_by_host

    async def _request(self, host: str, version: int) -> ConfirmReply | None:
        local_state = self._local_state
        request = ConfirmRequest(version, local_state.change_id, local_state.known_era)
        reply = await self._links.request(host, request, self._settings.peer_timeout_s)
        if not isinstance(reply, ConfirmReply):
            return None
        self._last_contact.record(host, asyncio.get_running_loop().time())
        local_state.observe_version(reply.version)
        return reply
