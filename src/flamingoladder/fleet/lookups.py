"""Names the hosts that a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.members.member import Member

LIFETIME_S = 2.0
MAX_HOSTS = 64


class LookupAnswer(msgspec.Struct, frozen=True):
    """Addresses of hosts (``ip:port``), and how long the answer holds in seconds."""

    addresses: tuple[str, ...]
    lifetime_s: float


class FleetLookup:
    """Names the hosts of the caller's region, or all if there is none."""

    __slots__ = ("_book", "_lifetime_s", "_own", "leaving")

    def __init__(self, own: Member, members: MemberRegistry, max_lifetime_s: float) -> None:
        self._own = own
        self._book = members
        self._lifetime_s = min(LIFETIME_S, max_lifetime_s)
        self.leaving = False

    def answer(self, region: str, now: float) -> LookupAnswer:
        """Return the answer for a caller in ``region``."""
        members = self._book.serving(now)
        if not self.leaving or not members:
            members = [self._own, *members]
        near = [member for member in members if member.region == region]
        # Each host names others first, so that no host of a large region is left out by all.
        named = sorted(near or members, key=self._rank)[:MAX_HOSTS]
        return LookupAnswer(tuple(member.caller_url for member in named), self._lifetime_s)

    def _rank(self, member: Member) -> int:
        return stable_hash(self._own.host, member.host)
