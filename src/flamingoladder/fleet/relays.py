"""Which hosts of a region stand for it towards the store and towards other regions."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.members.member import Member

RELAYS_PER_REGION = 2
# With fewer hosts, reports through relays save no messages worth their delay.
MAX_DIRECT_HOSTS = 16
# How long a host of a region that was not heard yet is tried as its relay.
TRIAL_S = 1.0
MAX_KEPT_HASHES = 4_096


class RegionRelays:
    """Ranks each region's hosts by bandwidth, then by rendezvous hashing; the first two relay.

    A relay sends as many bytes as its region has hosts, which a narrow link does not take in time.
    Each host ranks for itself, without agreement: two hosts that both take themselves for the first
    cost messages and nothing else. A host that stops ranks last.
    """

    __slots__ = ("_members", "_own", "leaving")

    def __init__(self, own: Member, members: MemberRegistry) -> None:
        self._own = own
        self._members = members
        self.leaving = False

    @property
    def in_use(self) -> bool:
        """Return whether the fleet is so large that its regions hear each other by relays."""
        return self._members.host_count > MAX_DIRECT_HOSTS

    def own_rank(self, now: float) -> int:
        """Return this host's rank in its region, 0 for the first relay."""
        if self.leaving:
            return RELAYS_PER_REGION
        own = _order_of(self._own)
        others = self._candidates(self._own.region, now)
        return sum(_order_of(member) < own for member in others)

    def neighbours(self) -> list[str]:
        """Return the other hosts of this host's region."""
        return [host for host, member in self._others() if member.region == self._own.region]

    def others(self) -> list[str]:
        """Return all other hosts."""
        return [host for host, _ in self._others()]

    def nearest_first(self) -> list[str]:
        """Return all other hosts, those of this host's region first."""
        own_region = self._own.region
        others = sorted(self._others(), key=lambda item: item[1].region != own_region)
        return [host for host, _ in others]

    def is_neighbour(self, host: str) -> bool:
        """Return whether a registered host is of this host's region."""
        member = self._members.members_by_host.get(host)
        return member is not None and member.region == self._own.region

    def remote_relays(self, rank: int, now: float) -> list[str]:
        """Return the relay of ``rank`` of each other region."""
        regions = {member.region for _, member in self._others()} - {self._own.region}
        return [self._remote_relay(region, rank, now) for region in sorted(regions)]

    def _remote_relay(self, region: str, rank: int, now: float) -> str:
        heard = sorted(self._candidates(region, now), key=_order_of)
        if heard:
            return heard[min(rank, len(heard) - 1)].host
        registered = sorted(
            (member for _, member in self._others() if member.region == region), key=_order_of
        )
        return registered[(int(now / TRIAL_S) + rank) % len(registered)].host

    def _candidates(self, region: str, now: float) -> list[Member]:
        """Return the other hosts of a region that serve, or those that were heard at all."""
        return self._members.serving(now, region) or [
            member
            for host, member in self._others()
            if member.region == region and self._members.is_alive(host, now)
        ]

    def _others(self) -> list[tuple[str, Member]]:
        return list(self._members.members_by_host.items())


def _order_of(member: Member) -> tuple[float, int]:
    return -member.link_mbps, _hash_of(member.region, member.host)


@lru_cache(MAX_KEPT_HASHES)
def _hash_of(region: str, host: str) -> int:
    """All hosts of a region are ranked several times a second, also while nothing changes."""
    return stable_hash("relay", region, host)
