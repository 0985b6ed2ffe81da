"""Registration of a target."""

from __future__ import annotations

import msgspec


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The registration of one target.

    ``target_id`` identifies one start of the target, and ``started_ms`` is the Unix time of it.
    ``slow_start_s`` is the remaining slow start in seconds. ``address`` is ``ip:port``.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    slow_start_s: float
    started_ms: int | None = None
