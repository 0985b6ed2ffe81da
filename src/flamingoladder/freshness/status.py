"""The status of the agreed state on all hosts, for operators."""

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
    """The version of the host that was asked, and the status of each reachable host.

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


def host_status(local_state: LocalState, now: float) -> HostStatus:
    """Return this host's status at ``now``."""
    return HostStatus(
        local_state.member.host,
        local_state.member.incarnation,
        local_state.installed,
        local_state.has_proof(now),
        local_state.proof_age_s(now),
        tuple(sorted(local_state.intents_by_change)),
        local_state.era,
    )


async def gather_status(
    local_state: LocalState, links: PeerLinks, settings: FreshnessSettings, store_available: bool
) -> FreshnessStatus:
    """Request and return the statuses of all registered hosts."""
    own_host = local_state.member.host
    other_hosts = [host for host in local_state.members_by_host if host != own_host]
    requests = (
        links.request(host, StatusRequest(), settings.peer_timeout_s) for host in other_hosts
    )
    replies = await asyncio.gather(*requests)
    statuses = [reply for reply in replies if isinstance(reply, HostStatus)]
    statuses.append(host_status(local_state, asyncio.get_running_loop().time()))
    answered_hosts = {status.host for status in statuses}
    return FreshnessStatus(
        local_state.installed,
        tuple(sorted(statuses, key=lambda status: status.host)),
        tuple(host for host in other_hosts if host not in answered_hosts),
        store_available,
    )
