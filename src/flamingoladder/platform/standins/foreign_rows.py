"""Rows of other writers, which name no target to use and no host to hear."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform import memberships
from flamingoladder.platform import registry

if TYPE_CHECKING:
    from flamingoladder.platform.rows import RowStore

# Deeper than the decoders of any supported Python follow, and smaller than a row may be.
NESTING_LEVELS = 30_000
NESTED_JSON = b'{"a":' + b"[" * NESTING_LEVELS + b"]" * NESTING_LEVELS + b"}"
NO_ADDRESS = "127.0.0.1:65536"


async def write_foreign_rows(store: RowStore) -> None:
    """Write rows whose keys come before and after those of targets and hosts."""
    entry = {"service": "catalogue", "address": NO_ADDRESS, "zone": "north-a", "state": "ready"}
    for key, value in (
        ("a-nested", NESTED_JSON),
        ("z-bytes", b"\xff"),
        ("z-address", msgspec.json.encode(entry)),
    ):
        await store.write(registry.TABLE, key, value)
        await store.write(memberships.TABLE, key, value)
