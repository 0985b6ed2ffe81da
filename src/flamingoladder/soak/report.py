"""The report of a soak."""

from __future__ import annotations

import msgspec

from flamingoladder.soak.broken import Broken


class SoakReport(msgspec.Struct, frozen=True):
    """What a soak found, with its time line and the number of requests that callers sent."""

    broken: tuple[Broken, ...]
    lines: tuple[str, ...]
    requests: int
