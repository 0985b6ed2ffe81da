"""Messages between hosts about loans of shares.

Amounts are in nano-units (``NANOS_PER_UNIT`` to the unit) and rates in nano-units per second, as
integers, so that no rounding ever makes or loses a part of a unit.
"""

from __future__ import annotations

import msgspec


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """What the sender holds on loan from the receiver.

    ``sequence`` rises with each statement of the sender. A statement voids every answer to an
    earlier one: the sender will not credit it any more.
    """

    sequence: int
    units: int
    rate: int


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """The sender's own state, from which the other side judges what is fair.

    ``demand`` is the measured rate of arrivals; ``waiting`` the tokens that held requests need.
    """

    tokens: int
    units: int
    rate: int
    demand: int
    waiting: int


class LoanQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a loan of one allowance, and states what is still held of earlier loans."""

    allowance: str
    division_version: int
    holding: Holding
    standing: Standing


class LoanAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What the giver has deducted for the question numbered ``sequence``.

    ``units`` and ``rate`` are lent on top of the stated holding, for the term of a loan;
    ``tokens`` are the filled part of the units that are lent or given back. ``holding`` is set
    if the giver has given back a part of what it held from the asker.
    """

    allowance: str
    division_version: int
    sequence: int
    units: int
    rate: int
    tokens: int
    standing: Standing
    holding: Holding | None


class LoanRequest(msgspec.Struct, frozen=True, tag="loan_request"):
    """Questions about one or more allowances."""

    questions: tuple[LoanQuestion, ...]


class LoanReply(msgspec.Struct, frozen=True, tag="loan_reply"):
    """The answers to a request; questions of another division have none."""

    answers: tuple[LoanAnswer, ...]


class DivisionAdopted(msgspec.Struct, frozen=True, tag="division_adopted"):
    """Says that the sender has let go of all that it doesn't own by ``division_version``."""

    division_version: int


SharesMessage = LoanRequest | LoanReply | DivisionAdopted
