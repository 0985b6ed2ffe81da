"""Look-ups of the hosts that a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.fleet.caller_addresses import CallerAddresses
from flamingoladder.fleet.host_selection import MAX_SELECTED
from flamingoladder.fleet.host_selection import MIN_DOMAIN_HOSTS
from flamingoladder.fleet.host_selection import Candidate
from flamingoladder.fleet.host_selection import select_hosts
from flamingoladder.fleet.processor_use import ProcessorUse
from flamingoladder.fleet.relays import MAX_DIRECT_HOSTS
from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.members.member import Member

MAX_TTL_S = 2.0
MAX_HOSTS_PER_ANSWER = 64


class LookupAnswer(msgspec.Struct, frozen=True):
    """Addresses of hosts (``ip:port``), and the time to live of the answer in seconds."""

    addresses: tuple[str, ...]
    ttl_s: float


class FleetLookup:
    """Answers with the hosts of the caller's region, or with all hosts if it has none.

    In a fleet of more than ``MAX_DIRECT_HOSTS``, a caller that names its failure domain gets a few
    hosts, selected by nearness, capacity and busyness. ``processor_use`` is that of this host.
    """

    __slots__ = ("_caller_addresses", "_members", "_own", "_processor_use", "_ttl_s", "leaving")

    def __init__(
        self,
        own: Member,
        members: MemberRegistry,
        max_ttl_s: float,
        processor_use: ProcessorUse | None = None,
    ) -> None:
        self._own = own
        self._members = members
        self._caller_addresses = CallerAddresses()
        self._ttl_s = min(MAX_TTL_S, max_ttl_s)
        self._processor_use = processor_use or ProcessorUse(0.0)
        self.leaving = False

    def answer(
        self, region: str, now: float, failure_domain: str = "", caller: str = ""
    ) -> LookupAnswer:
        """Return the answer for the caller at address ``caller`` in a region and failure domain."""
        members = self._members.serving(now)
        if not self.leaving or not members:
            members = [self._own, *members]
        in_region = [member for member in members if member.region == region]
        if self._selects(failure_domain, in_region):
            candidates = [Candidate(member, self._busy_tenths(member)) for member in in_region]
            silent = self._silent_members(region, in_region)
            known = any(member.failure_domain == failure_domain for member in in_region)
            # Callers that share an address would all get the same few hosts.
            weighed = self._caller_addresses.are_many(failure_domain if known else "", caller, now)
            most = MAX_SELECTED if weighed else MAX_HOSTS_PER_ANSWER
            selected = select_hosts(
                caller, failure_domain, candidates, silent, most, weighed=weighed
            )
            return LookupAnswer(tuple(of.caller_url for of in selected), self._ttl_s)
        # Each host sorts differently, so that no host of a large region is in none of the answers.
        listed = sorted(in_region or members, key=self._order_hash)[:MAX_HOSTS_PER_ANSWER]
        return LookupAnswer(tuple(member.caller_url for member in listed), self._ttl_s)

    def _selects(self, failure_domain: str, in_region: list[Member]) -> bool:
        is_large = self._members.host_count > MAX_DIRECT_HOSTS
        return is_large and failure_domain != "" and len(in_region) >= MIN_DOMAIN_HOSTS

    def _silent_members(self, region: str, serving: list[Member]) -> list[Member]:
        hosts = {member.host for member in serving}
        return [
            member
            for host, member in self._members.members_by_host.items()
            if member.region == region and host not in hosts
        ]

    def _busy_tenths(self, member: Member) -> int:
        if member is self._own:
            return self._processor_use.tenths
        received = self._members.reports_by_host.get(member.host)
        return 0 if received is None else received.report.busy_tenths

    def _order_hash(self, member: Member) -> int:
        return stable_hash(self._own.host, member.host)
