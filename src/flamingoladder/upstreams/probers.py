"""Which hosts probe a target for all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

PROBERS = 2


def probers_of(target: str, hosts: Iterable[str]) -> frozenset[str]:
    """Return the ``PROBERS`` hosts that rank highest for the target by rendezvous hashing."""
    ranked = sorted(
        hosts, key=lambda host: xxh64_intdigest(f"{target} {host}".encode()), reverse=True
    )
    return frozenset(ranked[:PROBERS])
