"""A target as it registers itself."""

from __future__ import annotations

import msgspec


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says of itself.

    ``target_id`` names one start of the target. ``started_ms`` is the Unix time of the start.
    ``cold_s`` says for how many seconds more it takes little work. ``address`` is ``ip:port``.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    slow_start_s: float
    started_ms: int | None = None
