"""Messages between hosts about regions' and targets' load."""

from __future__ import annotations

import msgspec


class LoadNotice(msgspec.Struct, frozen=True, tag="load_notice"):
    """The sender's requests in progress, by region."""

    in_progress_by_region: dict[str, int]


SteeringMessage = LoadNotice
