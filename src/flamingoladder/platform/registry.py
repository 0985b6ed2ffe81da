"""Takes in the targets' registrations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.addresses import is_address
from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.feed.reader import TableReader
from flamingoladder.platform.exceptions import UnreadableRowError
from flamingoladder.targets.record import TargetRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.storage.feed import StoredRow
    from flamingoladder.targets.registry import TargetRegistry
    from flamingoladder.timeline.recorder import Recorder

TABLE = "servers"
STATES = ("ready", "draining")
LAPSED_TARGET_TTL_S = 2.1
OUTAGE_TAIL_S = 2.1


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    warmup_left_s: float = 0.0
    born: int | None = None


_decoder = Decoder.of_json(_Entry)


class RegistryReader(TableReader):
    """Brings the targets' entries to the registry of targets.

    An entry that is missing within ``OUTAGE_TAIL_S`` of the store's return may have lapsed while
    the store was away, so its target is kept for ``LAPSED_TARGET_TTL_S`` from the return.
    """

    __slots__ = ("_recorder", "_regained_at", "_targets")

    def __init__(self, targets: TargetRegistry, recorder: Recorder) -> None:
        self._targets = targets
        self._recorder = recorder
        self._regained_at: float | None = None

    def replace(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in all entries; targets without one have left."""
        self.change(rows, now)
        for target_id in self._targets.by_id.keys() - {row.key for row in rows}:
            self._handle_removal(target_id, now)

    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in changed entries."""
        for row in rows:
            if row.value is None:
                self._handle_removal(row.key, now)
                continue
            try:
                record = decode_entry(row.key, row.value)
            except UnreadableRowError as error:
                self._recorder.record("target.unreadable", target=row.key, error=error)
                self._targets.remove(row.key, "unreadable")
                continue
            self._targets.put(record, now)

    def went_back(self, rows: Sequence[StoredRow], now: float) -> None:
        """Need nothing: targets write their entries again."""

    def regained(self, now: float) -> None:
        """Note the end of an outage."""
        self._regained_at = now

    def _handle_removal(self, target_id: str, now: float) -> None:
        if self._regained_at is None or now - self._regained_at > OUTAGE_TAIL_S:
            self._targets.remove(target_id, "gone")
            return
        self._targets.schedule_removal(target_id, self._regained_at + LAPSED_TARGET_TTL_S)


def decode_entry(target_id: str, value: bytes) -> TargetRecord:
    """Return the target that the entry names.

    :raises UnreadableRowError: if it can't be read, or names no usable state.
    """
    try:
        entry = _decoder.decode(value)
    except MalformedValueError as error:
        raise UnreadableRowError(f"entry of {target_id}: {error}") from error
    if entry.state not in STATES or not is_address(entry.address):
        raise UnreadableRowError(f"entry of {target_id}: state or address")
    return TargetRecord(
        target_id=target_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=max(1, entry.slots),
        draining=entry.state == "draining",
        slow_start_s=max(0.0, entry.warmup_left_s),
        started_ms=entry.born,
    )
