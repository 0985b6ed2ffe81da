"""Results of resolving an idempotency key or ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.verdict import Outcome


class Claimable:
    """A key under which no request has run or will; claimable while the row is at ``revision``.

    Revision 0 stands for an absent row.
    """

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision


class OwnClaim:
    """A row that holds the resolving attempt's own claim, at ``revision``."""

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision


class UnusedTicket:
    """A ticket under which no request has run.

    If ``issuer_running`` is set, the issuer may still run one; otherwise none will ever run.
    """

    __slots__ = ("issuer_running",)

    def __init__(self, *, issuer_running: bool) -> None:
        self.issuer_running = issuer_running


class KnownOutcome:
    """The outcome of the key's earlier request, or a refusal if its outcome is not known."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome


Resolution = Claimable | OwnClaim | KnownOutcome
