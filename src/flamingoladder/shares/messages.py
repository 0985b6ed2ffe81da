"""Messages between hosts about loans of shares."""

from __future__ import annotations

import msgspec


class LoanRequest(msgspec.Struct, frozen=True, tag="loan_request"):
    """Asks for tokens of an allowance; ``spare_room`` is returned with the question."""

    allowance: str
    wanted: float
    spare_room: float


class LoanReply(msgspec.Struct, frozen=True, tag="loan_reply"):
    """Tokens that the giver has deducted already."""

    allowance: str
    granted: float


SharesMessage = LoanRequest | LoanReply
