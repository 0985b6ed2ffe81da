"""Which hosts of a region or failure domain stand for it towards the store and other groups."""

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
# How long a host of a group that was not heard yet is tried as its relay.
TRIAL_S = 1.0
MAX_KEPT_HASHES = 4_096

# Region and failure domain; the latter is empty if the whole region is one group.
Group = tuple[str, str]


class RegionRelays:
    """Ranks each group's hosts by bandwidth, then by rendezvous hashing; the first two relay.

    The groups are the regions. A relay sends as many bytes as its group has hosts, which a narrow
    link does not take in time.
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
        """Return whether the fleet is so large that its groups hear each other by relays."""
        return self._members.host_count > MAX_DIRECT_HOSTS

    @property
    def by_domain(self) -> bool:
        """Return whether hosts are grouped by failure domain; all then read packed reports."""
        return False

    def own_rank(self, now: float) -> int:
        """Return this host's rank in its group, 0 for the first relay."""
        if self.leaving:
            return RELAYS_PER_REGION
        own = _order_of(self._own)
        others = self._candidates(self._own_group, now)
        return sum(_order_of(member) < own for member in others)

    def neighbours(self) -> list[str]:
        """Return the other hosts of this host's group."""
        return [
            host for host, member in self._others() if self._group_of(member) == self._own_group
        ]

    def others(self) -> list[str]:
        """Return all other hosts."""
        return [host for host, _ in self._others()]

    def nearest_first(self) -> list[str]:
        """Return all other hosts, those of this host's region first."""
        own_region = self._own.region
        others = sorted(self._others(), key=lambda item: item[1].region != own_region)
        return [host for host, _ in others]

    def is_neighbour(self, host: str) -> bool:
        """Return whether a registered host is of this host's group."""
        member = self._members.members_by_host.get(host)
        return member is not None and self._group_of(member) == self._own_group

    def remote_relays(self, rank: int, now: float) -> list[str]:
        """Return the relay of ``rank`` of each other group."""
        groups = {self._group_of(member) for _, member in self._others()} - {self._own_group}
        return [self._remote_relay(group, rank, now) for group in sorted(groups)]

    @property
    def _own_group(self) -> Group:
        return self._group_of(self._own)

    def _group_of(self, member: Member) -> Group:
        return member.region, ""

    def _remote_relay(self, group: Group, rank: int, now: float) -> str:
        heard = sorted(self._candidates(group, now), key=_order_of)
        if heard:
            return heard[min(rank, len(heard) - 1)].host
        registered = sorted(
            (member for _, member in self._others() if self._group_of(member) == group),
            key=_order_of,
        )
        return registered[(int(now / TRIAL_S) + rank) % len(registered)].host

    def _candidates(self, group: Group, now: float) -> list[Member]:
        """Return the other hosts of a group that serve, or those that were heard at all."""
        region, _ = group
        serving = self._members.serving(now, region)
        return [member for member in serving if self._group_of(member) == group] or [
            member
            for host, member in self._others()
            if self._group_of(member) == group and self._members.is_alive(host, now)
        ]

    def _others(self) -> list[tuple[str, Member]]:
        return list(self._members.members_by_host.items())


class DomainRelays(RegionRelays):
    """Groups hosts by failure domain, once all registered hosts are of a version that does.

    With regions as groups, most bytes of reports crossed failure domains of one region: those that
    each host sent to all others there, and those that the first relay sent on to them.
    """

    __slots__ = ("_by_domain",)

    def __init__(self, own: Member, members: MemberRegistry) -> None:
        super().__init__(own, members)
        self._by_domain = False

    @property
    def by_domain(self) -> bool:
        """Return whether hosts are grouped by failure domain."""
        return self._by_domain

    def update(self) -> None:
        """Take in changed registrations."""
        members = self._members.members_by_host.values()
        self._by_domain = self._own.relays_by_domain and all(of.relays_by_domain for of in members)

    def _group_of(self, member: Member) -> Group:
        return member.region, member.failure_domain if self._by_domain else ""


def _order_of(member: Member) -> tuple[float, int]:
    return -member.link_mbps, _hash_of(member.region, member.host)


@lru_cache(MAX_KEPT_HASHES)
def _hash_of(region: str, host: str) -> int:
    """All hosts of a region are ranked several times a second, also while nothing changes."""
    return stable_hash("relay", region, host)
