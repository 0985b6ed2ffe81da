"""Exchange of changes and proofs between the hosts of a region."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.feed.messages import TableChanges
from flamingoladder.feed.messages import TableVersions

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.feed.followers import FollowerSelection
    from flamingoladder.feed.replica import TableReplica
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks


# Larger changes are fetched from the store by each host: the relay's link would hold them up.
MAX_RELAYED_BYTES = 65_536


class FeedExchange:
    """Sends this host's changes and proofs to its region, and takes in those of others."""

    __slots__ = ("_followers", "_links", "_on_news_by_table", "_replicas_by_table")

    def __init__(self, links: PeerLinks, followers: FollowerSelection) -> None:
        self._links = links
        self._followers = followers
        self._replicas_by_table: dict[str, TableReplica] = {}
        self._on_news_by_table: dict[str, Callable[[float], None]] = {}
        links.subscribe(TableChanges, self._on_changes)
        links.subscribe(TableVersions, self._on_versions)

    def attach(self, table: str, replica: TableReplica, on_news: Callable[[float], None]) -> None:
        """Bring what other hosts say of a table to ``replica``, then call ``on_news``.

        ``on_news`` gets the time in monotonic seconds.
        """
        self._replicas_by_table[table] = replica
        self._on_news_by_table[table] = on_news

    def relay(self, table: str, changes: TableChanges, now: float) -> None:
        """Send changes to the region's other hosts, if that is this host's part."""
        size = sum(len(row.value or b"") for row in changes.rows)
        if size > MAX_RELAYED_BYTES or not self._followers.is_relay(now):
            return
        named = msgspec.structs.replace(changes, table=table)
        self._links.send_all(self._followers.neighbours(), named)

    def prove(self, tables: list[str], now: float) -> None:
        """Send the versions of up-to-date copies, if this host is a follower."""
        if not self._followers.is_follower(now):
            return
        states = {table: self._replicas_by_table[table].state for table in tables}
        message = TableVersions({name: state for name, state in states.items() if state})
        self._links.send_all(self._followers.neighbours(), message)

    def _on_changes(self, _peer: Peer, changes: TableChanges) -> None:
        replica = self._replicas_by_table.get(changes.table)
        if replica is None:
            return
        now = asyncio.get_running_loop().time()
        if replica.take_relayed(changes, now):
            self._on_news_by_table[changes.table](now)

    def _on_versions(self, _peer: Peer, versions: TableVersions) -> None:
        now = asyncio.get_running_loop().time()
        for table, state in versions.by_table.items():
            replica = self._replicas_by_table.get(table)
            if replica is None:
                continue
            if state.era < (replica.era or 0):
                continue
            replica.note_state(state, now)
            if state.era == replica.era:
                self._followers.note_proof(table, now)
            self._on_news_by_table[table](now)
