"""What the row under a key means for a request that wants to claim the key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.verdict import Outcome


class Claimable:
    """No request under the key has run or will; it may be claimed while the row has ``revision``.

    Revision 0 stands for an absent row.
    """

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision


class OwnClaim:
    """The row is the asker's own claim, at ``revision``."""

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision


class UnusedTicket:
    """No request under a ticket has run.

    ``live`` tells whether the issuer may still run one; otherwise none will ever run.
    """

    __slots__ = ("live",)

    def __init__(self, *, live: bool) -> None:
        self.live = live


class KnownOutcome:
    """The outcome of the key's other request, or as much as can be said of it."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome


Resolution = Claimable | OwnClaim | KnownOutcome
