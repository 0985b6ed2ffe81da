"""What can be set and asked of the platform's stand-in while it runs."""

from __future__ import annotations

import msgspec

from flamingoladder.storage.hostlist import ListedHost

REFUSED_STATUS = 503


class FaultSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in effect.

    ``down`` accepts calls and never answers them, and ``refuse`` turns them away with
    ``refuse_status``. ``delay_s`` is the one-way delay in seconds. ``lost_answers`` counts the next
    writes that take effect and whose answers are lost.
    """

    down: bool = False
    refuse: bool = False
    refuse_status: int = REFUSED_STATUS
    delay_s: float = 0.0
    lost_answers: int = 0


class HostSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new host list."""

    hosts: tuple[ListedHost, ...]


class Nothing(msgspec.Struct, frozen=True):
    """A control call without settings."""


class Counts(msgspec.Struct, frozen=True):
    """How often tables were read and written since the start, and the store's version."""

    reads: int
    writes: int
    revision: int
