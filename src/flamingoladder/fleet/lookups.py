"""Look-ups of the hosts that a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

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
    """Answers with the hosts of the caller's region, or with all hosts if it has none."""

    __slots__ = ("_members", "_own", "_ttl_s", "leaving")

    def __init__(self, own: Member, members: MemberRegistry, max_ttl_s: float) -> None:
        self._own = own
        self._members = members
        self._ttl_s = min(MAX_TTL_S, max_ttl_s)
        self.leaving = False

    def answer(self, region: str, now: float) -> LookupAnswer:
        """Return the answer for a caller in ``region``."""
        members = self._members.serving(now)
        if not self.leaving or not members:
            members = [self._own, *members]
        in_region = [member for member in members if member.region == region]
        # Each host sorts differently, so that no host of a large region is in none of the answers.
        listed = sorted(in_region or members, key=self._order_hash)[:MAX_HOSTS_PER_ANSWER]
        return LookupAnswer(tuple(member.caller_url for member in listed), self._ttl_s)

    def _order_hash(self, member: Member) -> int:
        return stable_hash(self._own.host, member.host)
