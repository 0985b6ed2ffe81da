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
    lifetime_s: float


class FleetLookup:
    """Answers with the hosts of the caller's region, or with all hosts if it has none."""

    __slots__ = ("_lifetime_s", "_members", "_own", "leaving")

    def __init__(self, own: Member, members: MemberRegistry, max_lifetime_s: float) -> None:
        self._own = own
        self._members = members
        self._lifetime_s = min(MAX_TTL_S, max_lifetime_s)
        self.leaving = False

    def answer(self, region: str, now: float) -> LookupAnswer:
        """Return the answer for a caller in ``region``."""
        members = self._members.serving(now)
        if not self.leaving or not members:
            members = [self._own, *members]
        near = [member for member in members if member.region == region]
        # Each host has an order of its own, so that no host of a large region is left out by all.
        listed = sorted(near or members, key=self._rank)[:MAX_HOSTS_PER_ANSWER]
        return LookupAnswer(tuple(member.caller_url for member in listed), self._lifetime_s)

    def _rank(self, member: Member) -> int:
        return stable_hash(self._own.host, member.host)
