"""What targets say of themselves."""

from __future__ import annotations

import msgspec

DRAINING = "draining"


class HealthBody(msgspec.Struct, frozen=True):
    """The JSON body of a target's ``/health``; ``status`` may be ``draining``."""

    status: str = ""


class LoadBody(msgspec.Struct, frozen=True):
    """The JSON body of a target's ``/load``: requests in progress and slots."""

    in_progress: int
    slots: int


class ProbeReply(msgspec.Struct, frozen=True):
    """A target's own word; ``load`` is the part of its slots in use, or None if it says none."""

    ok: bool
    draining: bool = False
    load: float | None = None


def read_probe(health: bytes | None, load: bytes | None) -> ProbeReply:
    """Return what the bodies of ``/health`` and ``/load`` say; None is a body not received."""
    if health is None:
        return ProbeReply(ok=False)
    return ProbeReply(True, _is_draining(health), _load(load))


def _is_draining(health: bytes) -> bool:
    try:
        return msgspec.json.decode(health, type=HealthBody).status == DRAINING
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False


def _load(load: bytes | None) -> float | None:
    if load is None:
        return None
    try:
        body = msgspec.json.decode(load, type=LoadBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return body.in_progress / body.slots if body.slots > 0 else None
