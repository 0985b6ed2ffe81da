"""Messages between hosts about the freshness of the agreed state."""

from __future__ import annotations

import msgspec


class VouchRequest(msgspec.Struct, frozen=True, tag="vouch_request"):
    """Asks whether ``version`` is the newest that the other host knows."""

    version: int


class VouchReply(msgspec.Struct, frozen=True, tag="vouch_reply"):
    """``vouched`` holds only if ``version`` equals the asker's and no other rule forbids it."""

    version: int
    vouched: bool


FreshnessMessage = VouchRequest | VouchReply
