"""Settings of the caller library."""

from __future__ import annotations

import msgspec


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a caller.

    ``entry_urls`` are the base URLs of the entry hosts to send look-ups to, nearest first.
    ``deadline_ms`` bounds each call including its retries, ``connections`` the connections to each
    entry host. ``key`` is the workspace's API key.
    """

    entry_urls: tuple[str, ...]
    key: str | None = None
    deadline_ms: int = 2_000
    connections: int = 100
