"""Events of the time line."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, frozen=True):
    """One event; ``clock`` is a hybrid logical clock value that orders causes before effects.

    ``clock`` holds microseconds since the epoch, raised above every value seen from other hosts.
    """

    clock: int
    host: str
    incarnation: str
    kind: str
    fields: dict[str, str]
