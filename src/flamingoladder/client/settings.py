"""Settings of the caller library."""

from __future__ import annotations

import msgspec


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """``entry_urls`` are base URLs of entry hosts, nearest first, to ask for look-ups.

    ``deadline_ms`` bounds each call with all its repeats. ``connections`` bounds the connections to
    each entry host.
    """

    entry_urls: tuple[str, ...]
    key: str | None = None
    deadline_ms: int = 2_000
    connections: int = 100
