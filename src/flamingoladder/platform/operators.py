"""Takes in what the operator writes: the configuration and evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.feed.reader import TableReader
from flamingoladder.platform.configuration import decode_configuration
from flamingoladder.platform.exceptions import UnreadableRowError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.storage.feed import StoredRow
    from flamingoladder.timeline.recorder import Recorder

TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"


class OperatorReader(TableReader):
    """Brings the operator's rows to the slices."""

    __slots__ = ("_configuration", "_evacuated", "_recorder")

    def __init__(self, configuration: ActiveConfiguration, recorder: Recorder) -> None:
        self._configuration = configuration
        self._recorder = recorder
        self._evacuated: set[str] = set()

    def replace(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in all rows."""
        self._evacuated.clear()
        self.change(rows, now)

    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in changed rows."""
        for row in rows:
            if row.key.startswith(EVACUATION_PREFIX):
                self._apply_evacuation(row)
            elif row.key == CONFIGURATION_KEY and row.value is not None:
                self._apply_configuration(row.value, now)
        self._configuration.set_evacuated(self._evacuated, now)

    def went_back(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in the configuration, which has a version of its own."""
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._apply_configuration(row.value, now)

    def regained(self, now: float) -> None:
        """Need nothing: what the operator wrote stays until it is changed."""

    def _apply_evacuation(self, row: StoredRow) -> None:
        domain = row.key.removeprefix(EVACUATION_PREFIX)
        if row.value is None:
            self._evacuated.discard(domain)
        else:
            self._evacuated.add(domain)

    def _apply_configuration(self, value: bytes, now: float) -> None:
        try:
            routing = decode_configuration(value)
        except UnreadableRowError as error:
            self._recorder.record("configuration.unreadable", error=error)
            return
        self._configuration.set_routing(routing, now)
