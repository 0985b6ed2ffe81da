"""What targets say of themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from flamingoladder.verdict import Answer

B = TypeVar("B", bound=msgspec.Struct)

OK = 200
DRAINING = "draining"


class HealthBody(msgspec.Struct, frozen=True):
    """The JSON body of a target's ``/health``; ``status`` may be ``draining``."""

    status: str = ""


class LoadBody(msgspec.Struct, frozen=True):
    """The JSON body of a target's ``/load``: requests in progress, slots, whether it drains."""

    in_progress: int
    slots: int
    draining: bool = False


class ProbeReply(msgspec.Struct, frozen=True):
    """A target's own word; ``load`` is the part of its slots in use, or None if it says none."""

    ok: bool
    draining: bool = False
    load: float | None = None


def read_probe(health: Answer | None, load: Answer | None) -> ProbeReply:
    """Return what the answers of ``/health`` and ``/load`` say; None is an answer not received.

    A target is well if ``/health`` has status 200. It drains if either body says so.
    """
    ok = health is not None and health.status == OK
    status = _body(health, HealthBody)
    report = _body(load, LoadBody)
    draining = (status is not None and status.status == DRAINING) or bool(
        report and report.draining
    )
    return ProbeReply(ok, draining, _load(report))


def _body(answer: Answer | None, body_type: type[B]) -> B | None:
    if answer is None:
        return None
    try:
        return msgspec.json.decode(answer.body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def _load(report: LoadBody | None) -> float | None:
    if report is None or report.slots <= 0:
        return None
    return report.in_progress / report.slots
