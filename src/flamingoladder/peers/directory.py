"""Directory of the hosts allowed to use peer links, from the platform's table of members."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.members.member import Member


class PeerDirectory:
    """The other registered hosts, whose links are accepted."""

    __slots__ = ("_own_host", "by_host", "by_public_key")

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self.by_host: dict[str, Member] = {}
        self.by_public_key: dict[str, Member] = {}

    def replace(self, members: Iterable[Member]) -> None:
        """Replace the directory with ``members``, leaving out this host."""
        others = [member for member in members if member.host != self._own_host]
        self.by_host = {member.host: member for member in others}
        self.by_public_key = {member.peer_public_key: member for member in others}
