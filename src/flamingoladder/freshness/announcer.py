"""Brings a committed version to all hosts and finds out when it is in force everywhere."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from flamingoladder.freshness import guards
from flamingoladder.freshness.head import encode_head
from flamingoladder.freshness.messages import HeadAcknowledged
from flamingoladder.freshness.messages import HeadAnnounced

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.freshness.head import Head
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.freshness.tasks import BackgroundTasks
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks

REPEAT_S = 0.2
MIN_PAUSE_S = 0.001


class Announcement:
    """The acknowledgements of one version.

    ``wait_s`` is the time in seconds after which no proof is left that was asked for before.
    ``locked_at`` is the time of the commit where a majority refused the changed key even before
    it, infinity for other changes.
    """

    __slots__ = (
        "_answered",
        "_known_at_by_host",
        "_members_by_host",
        "installed_on",
        "locked_at",
        "version",
        "wait_s",
    )

    def __init__(
        self, version: int, members_by_host: Mapping[str, Member], wait_s: float, locked_at: float
    ) -> None:
        self.version = version
        self.wait_s = wait_s
        self.locked_at = locked_at
        self.installed_on: set[str] = set()
        self._members_by_host = members_by_host
        self._known_at_by_host: dict[str, float] = {}
        self._answered = asyncio.Event()

    def acknowledge(self, host: str, known: int, installed: int, now: float) -> None:
        """Take in what ``host`` said at ``now`` of its versions."""
        if known >= self.version:
            self._known_at_by_host.setdefault(host, now)
        if installed >= self.version:
            self.installed_on.add(host)
        self._answered.set()

    def in_force_from(self, last_removal_at: float, now: float) -> float:
        """Return the time from which no host can act on an earlier version; it may be infinite."""
        if self._all_installed() and guards.may_shorten_wait(last_removal_at, self.wait_s, now):
            return now
        return min(self._majority_known_at(), self.locked_at) + self.wait_s

    async def wait_for_answer(self, timeout_s: float) -> None:
        """Wait until another acknowledgement came, or for ``timeout_s`` seconds."""
        self._answered.clear()
        try:
            await asyncio.wait_for(self._answered.wait(), timeout_s)
        except TimeoutError:
            return

    def _all_installed(self) -> bool:
        return set(self._members_by_host) <= self.installed_on

    def _majority_known_at(self) -> float:
        """Return when the acknowledgement came that completed a majority, else infinity."""
        if guards.has_majority((), self._members_by_host):
            return -math.inf
        known: set[str] = set()
        for host, at in sorted(self._known_at_by_host.items(), key=lambda item: item[1]):
            known.add(host)
            if guards.has_majority(known, self._members_by_host):
                return at
        return math.inf


class Announcer:
    """Announces committed versions, repeating what stays unanswered."""

    __slots__ = ("_knowledge", "_links", "_settings", "_silence", "_tasks")

    def __init__(
        self,
        knowledge: LocalState,
        links: PeerLinks,
        silence: LastContact,
        settings: FreshnessSettings,
        tasks: BackgroundTasks,
    ) -> None:
        self._knowledge = knowledge
        self._links = links
        self._silence = silence
        self._settings = settings
        self._tasks = tasks

    def start(self, head: Head, locked_at: float) -> Announcement:
        """Announce ``head``, which this host has put in force."""
        knowledge = self._knowledge
        now = asyncio.get_running_loop().time()
        announcement = Announcement(
            head.version, knowledge.members_by_host, knowledge.wait_s, locked_at
        )
        own = knowledge.member.host
        announcement.acknowledge(own, knowledge.known, knowledge.installed, now)
        message = HeadAnnounced(encode_head(head))
        deadline = now + self._settings.force_timeout_s
        for host in {*knowledge.members_by_host, *self._links.hosts} - {own}:
            self._tasks.start(self._push(host, message, announcement, deadline))
        return announcement

    async def wait_in_force(self, announcement: Announcement) -> bool:
        """Wait until the version is in force, within the bound; return whether it is."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._settings.force_timeout_s
        while True:
            now = loop.time()
            in_force_from = announcement.in_force_from(self._knowledge.last_removal_at, now)
            if now >= in_force_from:
                return True
            if now >= deadline:
                return False
            pause_s = max(MIN_PAUSE_S, min(deadline, in_force_from) - now)
            await announcement.wait_for_answer(pause_s)

    async def _push(
        self, host: str, message: HeadAnnounced, announcement: Announcement, deadline: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and host not in announcement.installed_on:
            reply = await self._links.ask(host, message, self._settings.peer_timeout_s)
            if isinstance(reply, HeadAcknowledged):
                self._silence.record(host, loop.time())
                self._knowledge.learn_of(reply.known)
                announcement.acknowledge(host, reply.known, reply.installed, loop.time())
            if host not in announcement.installed_on:
                await asyncio.sleep(REPEAT_S)
