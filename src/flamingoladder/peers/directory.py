"""Directory of the hosts allowed to use peer links, from the platform's table of members."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from zmq.utils import z85

from flamingoladder.addresses import is_address

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.members.member import Member


ENDPOINT_PREFIX = "tcp://"
PUBLIC_KEY_BYTES = 32


class PeerDirectory:
    """The other registered hosts, whose links are accepted.

    ``unusable_hosts`` are registered with an endpoint or key that no link can have.
    """

    __slots__ = ("_own_host", "by_host", "by_public_key", "unusable_hosts")

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self.by_host: dict[str, Member] = {}
        self.by_public_key: dict[str, Member] = {}
        self.unusable_hosts: frozenset[str] = frozenset()

    def replace(self, members: Iterable[Member]) -> None:
        """Replace the directory with ``members``, leaving out this host."""
        others = [member for member in members if member.host != self._own_host]
        # A fleet's start changes the directory once a host, so known members aren't checked again.
        self.by_host = {
            member.host: member
            for member in others
            if self.by_host.get(member.host) == member or _can_be_linked(member)
        }
        self.by_public_key = {member.peer_public_key: member for member in self.by_host.values()}
        self.unusable_hosts = frozenset(member.host for member in others) - self.by_host.keys()


def _can_be_linked(member: Member) -> bool:
    return _is_endpoint(member.peer_endpoint) and _is_public_key(member.peer_public_key)


def _is_endpoint(endpoint: str) -> bool:
    address = endpoint.removeprefix(ENDPOINT_PREFIX)
    return address != endpoint and is_address(address)


def _is_public_key(key: str) -> bool:
    try:
        return len(z85.decode(key.encode("ascii"))) == PUBLIC_KEY_BYTES
    except (ValueError, KeyError, struct.error):
        return False
