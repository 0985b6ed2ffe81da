"""Division of a whole number of requests to one target among all hosts, and its observance."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable


class FleetShare(msgspec.Struct, frozen=True):
    """This host's part of some requests; ``rank`` is its place among the hosts, from 0 on."""

    requests: int
    rank: int


def fleet_share(total: int, target_id: str, own_host: str, hosts: Iterable[str]) -> FleetShare:
    """Return this host's part of ``total``, by rendezvous hashing.

    Every host gets the same whole number; the remainder goes to the hosts that rank first for the
    target. Hosts that know the same ``hosts`` need no coordination; ``own_host`` may be left out.
    """
    others = set(hosts) - {own_host}
    per_host, remainder = divmod(total, len(others) + 1)
    own_hash = stable_hash(target_id, own_host)
    rank = sum(stable_hash(target_id, host) > own_hash for host in others)
    return FleetShare(per_host + (rank < remainder), rank)


def fleet_turn(target_id: str, own_host: str, hosts: Iterable[str]) -> float:
    """Return this host's place for the target among all hosts, from 0 to 1.

    ``own_host`` may be left out of ``hosts``.
    """
    all_hosts = {own_host, *hosts}
    return fleet_share(0, target_id, own_host, all_hosts).rank / len(all_hosts)


class SendWindow:
    """The times of this host's sends to one target in the last ``window_s`` seconds."""

    __slots__ = ("_sent_at", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._sent_at: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count a send."""
        self._sent_at.append(now)

    def allows(self, share: int, now: float) -> bool:
        """Return whether one more send stays within ``share`` sends in the window."""
        while self._sent_at and now - self._sent_at[0] >= self._window_s:
            self._sent_at.popleft()
        return len(self._sent_at) < share
