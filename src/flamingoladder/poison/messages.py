"""Messages between hosts about ends of targets; ages are in milliseconds before the send."""

from __future__ import annotations

import msgspec


class EndReport(msgspec.Struct, frozen=True, array_like=True):
    """One start of a target ended, with requests of these fingerprints at work.

    ``began_age_ms`` is the age of the first of these requests. ``incarnation`` is None where starts
    of a target have no name.
    """

    target: str
    incarnation: int | None
    failure_domain: str
    age_ms: int
    began_age_ms: int
    fingerprints: tuple[int, ...]


class AnswerReport(msgspec.Struct, frozen=True, array_like=True):
    """A request with this fingerprint was answered; its run began ``began_age_ms`` ago at most."""

    fingerprint: int
    began_age_ms: int


class PoisonReport(msgspec.Struct, frozen=True, tag="po"):
    """What a host knows of ended targets, or what is new of it.

    ``trials`` are fingerprints of suspect requests that the sender has just sent to a target.
    """

    ends: tuple[EndReport, ...] = ()
    answers: tuple[AnswerReport, ...] = ()
    trials: tuple[int, ...] = ()


class PoisonQuery(msgspec.Struct, frozen=True, tag="pq"):
    """Asks for all that the receiver knows of ended targets; the reply is a ``PoisonReport``."""


PoisonMessage = PoisonReport | PoisonQuery
