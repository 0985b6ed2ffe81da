"""Hashes that are the same at all hosts."""

from __future__ import annotations

import xxhash

HASH_RANGE = 2**64


def stable_hash(*parts: str) -> int:
    """Return a number from 0 to ``HASH_RANGE`` that depends on the texts alone."""
    return xxhash.xxh64_intdigest("\0".join(parts).encode())
