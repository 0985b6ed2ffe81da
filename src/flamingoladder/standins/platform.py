"""The state of the platform's stand-in: table, objects, lagging host list and faults."""

from __future__ import annotations

import hashlib

import msgspec

from flamingoladder.platform.hostlist import ListedHost
from flamingoladder.standins.memory import StoredTable


class FaultSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in effect.

    ``down`` accepts calls and never answers them, and ``refuse`` turns them away with status 503.
    ``delay_s`` is the one-way delay in seconds. ``lost_answers`` counts the next writes that take
    effect and whose answers are lost.
    """

    down: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0


class HostSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new host list, which readers see ``lag_s`` seconds later."""

    hosts: tuple[ListedHost, ...]
    lag_s: float = 0.0


class Counts(msgspec.Struct, frozen=True):
    """How often the table was read and written since the start, and its revision."""

    reads: int
    writes: int
    revision: int


class LaggingHosts:
    """A host list whose changes are seen late."""

    __slots__ = ("_pending", "_seen")

    def __init__(self) -> None:
        self._seen: tuple[ListedHost, ...] = ()
        self._pending: list[tuple[float, tuple[ListedHost, ...]]] = []

    def put(self, settings: HostSettings, now: float) -> None:
        """Take in a new list at ``now``."""
        self._pending.append((now + settings.lag_s, settings.hosts))

    def seen(self, now: float) -> tuple[ListedHost, ...]:
        """Return the list that readers see at ``now``."""
        while self._pending and self._pending[0][0] <= now:
            self._seen = self._pending.pop(0)[1]
        return self._seen


class PlatformState:
    """Everything that the stand-in holds."""

    __slots__ = ("content_by_name", "faults", "hosts", "table")

    def __init__(self) -> None:
        self.table = StoredTable()
        self.content_by_name: dict[str, bytes] = {}
        self.hosts = LaggingHosts()
        self.faults = FaultSettings()

    def take_lost_answer(self) -> bool:
        """Return whether the answer of the write that just took effect is to be lost."""
        lost = self.faults.lost_answers
        if lost == 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, lost_answers=lost - 1)
        return True

    def counts(self) -> Counts:
        """Return the table's counts."""
        return Counts(self.table.reads, self.table.writes, self.table.revision)


def entity_tag(content: bytes) -> str:
    """Return a strong entity tag of ``content``."""
    return f'"{hashlib.sha256(content).hexdigest()}"'
