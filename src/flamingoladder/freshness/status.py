"""What operators see of the agreed state on all hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.freshness.messages import HostStatus
from flamingoladder.freshness.messages import StatusRequest

if TYPE_CHECKING:
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.settings import FreshnessSettings
    from flamingoladder.peers.link import PeerLinks


class FreshnessStatus(msgspec.Struct, frozen=True):
    """The version of the asked host, and what each reachable host has in force.

    ``unreachable`` names the registered hosts that did not answer.
    """

    version: int
    hosts: tuple[HostStatus, ...]
    unreachable: tuple[str, ...]
    store_available: bool

    @property
    def by_host(self) -> dict[str, HostStatus]:
        """Return the statuses by host."""
        return {status.host: status for status in self.hosts}


def host_status(knowledge: LocalState, now: float) -> HostStatus:
    """Return what is in force on this host at ``now``."""
    return HostStatus(
        knowledge.member.host,
        knowledge.member.incarnation,
        knowledge.installed,
        knowledge.has_proof(now),
        knowledge.proof_age_s(now),
        tuple(sorted(knowledge.intents_by_change)),
    )


async def gather_status(
    knowledge: LocalState, links: PeerLinks, settings: FreshnessSettings, store_available: bool
) -> FreshnessStatus:
    """Ask all registered hosts what they have in force."""
    own = knowledge.member.host
    others = [host for host in knowledge.members_by_host if host != own]
    asks = (links.ask(host, StatusRequest(), settings.peer_timeout_s) for host in others)
    replies = await asyncio.gather(*asks)
    statuses = [reply for reply in replies if isinstance(reply, HostStatus)]
    statuses.append(host_status(knowledge, asyncio.get_running_loop().time()))
    answered = {status.host for status in statuses}
    return FreshnessStatus(
        knowledge.installed,
        tuple(sorted(statuses, key=lambda status: status.host)),
        tuple(host for host in others if host not in answered),
        store_available,
    )
