"""Which hosts probe a target for all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

PROBERS = 2


def probers_of(target: str, hosts: Iterable[str]) -> frozenset[str]:
    """Return the ``PROBERS`` hosts that rank highest for the target by rendezvous hashing."""
    ranked = sorted(hosts, key=lambda host: stable_hash(target, host), reverse=True)
    return frozenset(ranked[:PROBERS])
