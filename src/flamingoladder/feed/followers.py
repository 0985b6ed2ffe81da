"""Which hosts of a region poll the store, and which get the changes from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.fleet.relays import RELAYS_PER_REGION

if TYPE_CHECKING:
    from flamingoladder.fleet.relays import RegionRelays


class FollowerSelection:
    """Lets a region's relays poll the store, and any host whose proofs have expired.

    Nothing is agreed: a host without a relay polls for itself once the last proof has expired.
    """

    __slots__ = ("_proof_lifetime_s", "_proved_at_by_table", "_relays")

    def __init__(self, relays: RegionRelays, proof_lifetime_s: float) -> None:
        self._relays = relays
        self._proof_lifetime_s = proof_lifetime_s
        self._proved_at_by_table: dict[str, float] = {}

    def note_proof(self, table: str, now: float) -> None:
        """Note that another host proved its copy of a table up to date."""
        self._proved_at_by_table[table] = now

    def is_follower(self, now: float) -> bool:
        """Return whether this host is among the region's followers."""
        return self._relays.own_rank(now) < RELAYS_PER_REGION

    def turn(self, now: float) -> int:
        """Return this host's turn among its region's followers, 1 for the first."""
        return 1 + min(self._relays.own_rank(now), RELAYS_PER_REGION)

    def is_relay(self, now: float) -> bool:
        """Return whether this host is the one that sends changes to the region's other hosts."""
        return self._relays.own_rank(now) == 0

    def must_poll(self, table: str, now: float) -> bool:
        """Return whether this host polls the store for a table."""
        return self.is_follower(now) or now >= self.proof_expires_at(table)

    def proof_expires_at(self, table: str) -> float:
        """Return until when another host's proof holds; 0 before the first."""
        proved_at = self._proved_at_by_table.get(table)
        return 0.0 if proved_at is None else proved_at + self._proof_lifetime_s

    def neighbours(self) -> list[str]:
        """Return the other hosts of this host's region."""
        return self._relays.neighbours()
