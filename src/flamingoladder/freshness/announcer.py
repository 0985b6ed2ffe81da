"""Announces a committed version to all hosts and determines when it is in force everywhere."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from flamingoladder.freshness import guards
from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.freshness.head import encode_head
from flamingoladder.freshness.messages import HeadAcknowledged
from flamingoladder.freshness.messages import HeadAnnounced
from flamingoladder.waiting import is_set_within

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.freshness.head import Head
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.freshness.tasks import BackgroundTasks
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks

ANNOUNCE_RETRY_INTERVAL_S = 0.2
# Avoids a busy loop when the next check is due almost at once.
MIN_PAUSE_S = 0.001


class Announcement:
    """The announcement of one version, with the hosts' acknowledgements.

    ``change_id`` made the version, and ``stored_era`` is the store's era in which it was committed.
    ``wait_s`` is the time in seconds after which every proof requested earlier has expired.
    ``key_suspended_at`` is the time of the commit if a majority refused the withdrawn key
    already before the commit, infinity for other changes.
    """

    __slots__ = (
        "_answered",
        "_known_at_by_host",
        "_members_by_host",
        "change_id",
        "installed_on",
        "key_suspended_at",
        "stored_era",
        "version",
        "wait_s",
    )

    def __init__(
        self,
        head: Head,
        stored_era: int,
        members_by_host: Mapping[str, Member],
        wait_s: float,
        key_suspended_at: float,
    ) -> None:
        self.version = head.version
        self.change_id = head.change_id
        self.stored_era = stored_era
        self.wait_s = wait_s
        self.key_suspended_at = key_suspended_at
        self.installed_on: set[str] = set()
        self._members_by_host = members_by_host
        self._known_at_by_host: dict[str, float] = {}
        self._answered = asyncio.Event()

    def acknowledge(self, host: str, known: int, installed: int, now: float) -> None:
        """Record the versions that ``host`` acknowledged at ``now``."""
        if known >= self.version:
            self._known_at_by_host.setdefault(host, now)
        if installed >= self.version:
            self.installed_on.add(host)
        self._answered.set()

    def in_force_from(self, last_removal_at: float, now: float) -> float:
        """Return the time from which no host can act on an earlier version, or infinity."""
        if self._all_installed() and guards.may_shorten_wait(last_removal_at, self.wait_s, now):
            return now
        return min(self._majority_known_at(), self.key_suspended_at) + self.wait_s

    async def wait_for_answer(self, timeout_s: float) -> None:
        """Wait for another acknowledgement, at most ``timeout_s`` seconds."""
        self._answered.clear()
        await is_set_within(self._answered, timeout_s)

    def _all_installed(self) -> bool:
        return set(self._members_by_host) <= self.installed_on

    def _majority_known_at(self) -> float:
        """Return when acknowledgements reached a majority, or infinity before that."""
        if guards.has_majority((), self._members_by_host):
            return -math.inf
        known: set[str] = set()
        for host, known_at in sorted(self._known_at_by_host.items(), key=lambda item: item[1]):
            known.add(host)
            if guards.has_majority(known, self._members_by_host):
                return known_at
        return math.inf


class Announcer:
    """Announces committed versions and retries until each host has installed them."""

    __slots__ = ("_last_contact", "_links", "_local_state", "_settings", "_tasks")

    def __init__(
        self,
        local_state: LocalState,
        links: PeerLinks,
        last_contact: LastContact,
        settings: FreshnessSettings,
        tasks: BackgroundTasks,
    ) -> None:
        self._local_state = local_state
        self._links = links
        self._last_contact = last_contact
        self._settings = settings
        self._tasks = tasks

    def start(self, head: Head, key_suspended_at: float) -> Announcement:
        """Announce ``head``, which this host has installed, to all other hosts."""
        local_state = self._local_state
        now = asyncio.get_running_loop().time()
        announcement = Announcement(
            head,
            local_state.stored_era,
            local_state.members_by_host,
            local_state.wait_s,
            key_suspended_at,
        )
        own_host = local_state.member.host
        announcement.acknowledge(own_host, local_state.known, local_state.installed, now)
        message = HeadAnnounced(encode_head(head))
        deadline = now + self._settings.force_timeout_s
        for host in {*local_state.members_by_host, *self._links.hosts} - {own_host}:
            self._tasks.start(self._announce_to(host, message, announcement, deadline))
        return announcement

    async def wait_in_force(self, announcement: Announcement) -> bool:
        """Wait up to ``force_timeout_s`` until the version is in force; return whether it is."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._settings.force_timeout_s
        while True:
            now = loop.time()
            in_force_from = announcement.in_force_from(self._local_state.last_removal_at, now)
            if now >= in_force_from:
                return True
            if now >= deadline:
                return False
            pause_s = max(MIN_PAUSE_S, min(deadline, in_force_from) - now)
            await announcement.wait_for_answer(pause_s)

    def _counts(self, announcement: Announcement, reply: HeadAcknowledged) -> bool:
        """Return whether the host's knowledge of the version keeps the one below from proofs."""
        local_state = self._local_state
        stored_era = local_state.stored_era
        if local_state.stored_version < announcement.version:
            stored_era = announcement.stored_era
        return guards.acknowledged_in_era(reply.store_era, stored_era) and self._has_content(
            announcement, reply
        )

    @staticmethod
    def _has_content(announcement: Announcement, reply: HeadAcknowledged) -> bool:
        return guards.acknowledged_change(
            announcement.version, announcement.change_id, reply.installed, reply.change_id
        )

    async def _announce_to(
        self, host: str, message: HeadAnnounced, announcement: Announcement, deadline: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and host not in announcement.installed_on:
            reply = await self._links.request(host, message, self._settings.peer_timeout_s)
            if isinstance(reply, HeadAcknowledged):
                self._last_contact.record(host, loop.time())
                self._local_state.observe_version(reply.known)
                known = reply.known if self._counts(announcement, reply) else NO_STATE_VERSION
                installed = reply.installed if self._has_content(announcement, reply) else 0
                announcement.acknowledge(host, known, installed, loop.time())
            if host not in announcement.installed_on:
                await asyncio.sleep(ANNOUNCE_RETRY_INTERVAL_S)
