"""The state of the platform's stand-in: tables, objects, counts and faults."""

from __future__ import annotations

from base64 import b64encode
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform.services import HOSTS_TABLE
from flamingoladder.platform.standins.tables import Tables
from flamingoladder.platform.standins.tables import TablesCopy
from flamingoladder.standins.platform import Counts
from flamingoladder.standins.platform import FaultSettings

if TYPE_CHECKING:
    from flamingoladder.storage.hostlist import ListedHost


class PlatformCopy(msgspec.Struct, frozen=True):
    """The tables and objects as they were at one moment."""

    tables: TablesCopy
    content_by_name: dict[str, bytes]


class PlatformState:
    """Everything that the stand-in holds."""

    __slots__ = ("_copy", "content_by_name", "faults", "reads", "refused", "tables", "writes")

    def __init__(self) -> None:
        self.tables = Tables()
        self.content_by_name: dict[str, bytes] = {}
        self.faults = FaultSettings()
        self.reads = 0
        self.refused = 0
        self.writes = 0
        self._copy = self.copy()

    @property
    def revision(self) -> int:
        """Return the number of transactions that were applied."""
        return self.tables.version

    def take_lost_answer(self) -> bool:
        """Return whether the answer of the write that just took effect is to be lost."""
        lost = self.faults.lost_answers
        if lost == 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, lost_answers=lost - 1)
        return True

    def copy(self) -> PlatformCopy:
        """Return a copy of the tables and objects."""
        return PlatformCopy(self.tables.copy(), dict(self.content_by_name))

    def restore(self, copy: PlatformCopy) -> None:
        """Come back from a copy, in a new era."""
        self.tables.restore(copy.tables)
        self.content_by_name = dict(copy.content_by_name)

    def keep_copy(self) -> None:
        """Keep a copy to come back from."""
        self._copy = self.copy()

    def restore_kept_copy(self) -> None:
        """Come back from the kept copy, which is empty if none was kept."""
        self.restore(self._copy)

    def list_hosts(self, hosts: tuple[ListedHost, ...]) -> None:
        """Let the list hold just these hosts."""
        listed = [
            ((HOSTS_TABLE, "", entry.host), b64encode(entry.status.value.encode()).decode())
            for entry in hosts
        ]
        named = {key for key, _ in listed}
        old = [row for row in self.tables.by_key if row[0] == HOSTS_TABLE and row not in named]
        self.tables.apply(listed, old)

    def counts(self) -> Counts:
        """Return how often the tables were used."""
        return Counts(self.reads, self.writes, self.revision)
