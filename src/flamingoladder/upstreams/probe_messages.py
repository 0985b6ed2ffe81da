"""The bodies of health and load probes, and their parser."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError

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
    """A target's reply to probes; ``load`` is the fraction of slots in use, None if unreported.

    ``answered`` is False if the target gave no answer at all.
    """

    ok: bool
    draining: bool = False
    load: float | None = None
    answered: bool = True


_health_decoder = Decoder.of_json(HealthBody)
_load_decoder = Decoder.of_json(LoadBody)


def parse_probe(health: Answer | None, load: Answer | None) -> ProbeReply:
    """Parse the answers of ``/health`` and ``/load``; None stands for an answer not received.

    A target is healthy if ``/health`` has status 200, and draining if either body reports it.
    """
    ok = health is not None and health.status == OK
    health_body = _decode_body(health, _health_decoder)
    load_body = _decode_body(load, _load_decoder)
    draining = (health_body is not None and health_body.status == DRAINING) or bool(
        load_body and load_body.draining
    )
    return ProbeReply(ok, draining, _load(load_body), health is not None)


def _decode_body(answer: Answer | None, decoder: Decoder[B]) -> B | None:
    if answer is None:
        return None
    try:
        return decoder.decode(answer.body)
    except MalformedValueError:
        return None


def _load(body: LoadBody | None) -> float | None:
    if body is None or body.slots <= 0:
        return None
    return body.in_progress / body.slots
