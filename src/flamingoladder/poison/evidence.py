"""Keeps what counts against requests in the platform's store, for when all hosts are lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.poison.history import RECORD_TTL_S
from flamingoladder.poison.history import TargetEnd
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.table import MAX_TRANSACTION_ROWS
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from flamingoladder.poison.detector import PoisonDetector
    from flamingoladder.poison.evidence_changes import ChangedEvidence
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService
    from flamingoladder.timeline.recorder import Recorder

EVIDENCE_PREFIX = "crashes/"
CALL_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 0.5
MAX_ENDS_PER_ROW = 100
MS_PER_S = 1_000


class StoredEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of one start of a target; times are Unix milliseconds.

    ``fingerprints`` are only those of the requests that the row is about.
    """

    target: str
    incarnation: int | None
    failure_domain: str
    at_ms: int
    began_ms: int
    fingerprints: tuple[int, ...]


class Evidence(msgspec.Struct, frozen=True):
    """The value of a row: the ends that count against a request."""

    ends: tuple[StoredEnd, ...]


_decoder = Decoder.of_msgpack(Evidence)


class EvidenceKeeper:
    """Restores the evidence at the start, then writes what this host finds.

    It answers the loss of all hosts at once while a request that crashes targets comes again. A
    request with a single cause has no row, so that the loss of targets alone costs no writes.
    ``unix_time`` returns Unix seconds, as monotonic times mean nothing to another process.
    """

    __slots__ = ("_detector", "_recorder", "_table", "_unix_time", "restored")

    def __init__(
        self,
        detector: PoisonDetector,
        table: TableService,
        unix_time: Callable[[], float],
        recorder: Recorder,
    ) -> None:
        self._detector = detector
        self._table = table
        self._unix_time = unix_time
        self._recorder = recorder
        self.restored = asyncio.Event()

    async def run(self) -> None:
        """Restore, unless that is done, and write until cancelled."""
        writes: dict[str, bytes | None] = {}
        while not self.restored.is_set():
            writes = dict.fromkeys(await self._restore())
        changes = self._detector.evidence_changes
        while True:
            if not writes:
                await changes.changed.wait()
            writes |= self._writes_of(changes.take())
            if await self._write(writes):
                writes = {}
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _restore(self) -> list[str]:
        """Take in all rows, or pause if they can't be read; return the keys of useless ones."""
        try:
            found = await self._table.read(EVIDENCE_PREFIX, CALL_TIMEOUT_S)
        except PlatformError as error:
            self._recorder.record("poison.not_restored", error=error)
            await asyncio.sleep(RETRY_PAUSE_S)
            return []
        now = asyncio.get_running_loop().time()
        ends_by_key = {row.key: self._ends_of(row, now) for row in found.rows}
        for ends in ends_by_key.values():
            self._detector.restore(ends, now)
        if ends_by_key:
            self._recorder.record("poison.restored", rows=len(ends_by_key))
        self.restored.set()
        return [key for key, ends in ends_by_key.items() if not ends]

    def _ends_of(self, row: Row, now: float) -> list[TargetEnd]:
        """Return the ends of a row that are not too old; none if it can't be read."""
        try:
            evidence = _decoder.decode(row.value)
        except MalformedValueError as error:
            self._recorder.record("poison.unreadable", key=row.key, error=error)
            return []
        lag_s = self._unix_time() - now
        ends = [_to_end(stored, lag_s, now) for stored in evidence.ends]
        return [end for end in ends if now - end.at < RECORD_TTL_S]

    def _writes_of(self, changed: ChangedEvidence) -> dict[str, bytes | None]:
        """Return the new values of rows by key, None for a row that is to be deleted."""
        writes: dict[str, bytes | None] = {_key_of({of}): None for of in changed.cleared}
        lag_s = self._unix_time() - asyncio.get_running_loop().time()
        for group in changed.groups:
            ends = self._detector.evidence(group)[-MAX_ENDS_PER_ROW:]
            evidence = Evidence(tuple(_to_stored(end, lag_s) for end in ends))
            writes[_key_of(group)] = msgspec.msgpack.encode(evidence) if ends else None
        return writes

    async def _write(self, writes: dict[str, bytes | None]) -> bool:
        """Return whether all rows were written."""
        rows = [Write(key, value) for key, value in writes.items()]
        try:
            for start in range(0, len(rows), MAX_TRANSACTION_ROWS):
                part = rows[start : start + MAX_TRANSACTION_ROWS]
                await self._table.transact((), part, CALL_TIMEOUT_S)
        except PlatformError as error:
            self._recorder.record("poison.not_kept", error=error)
            return False
        if rows:
            self._recorder.record("poison.kept", rows=len(rows))
        return True


def _key_of(group: Iterable[int]) -> str:
    return f"{EVIDENCE_PREFIX}{min(group):016x}"


def _to_stored(end: TargetEnd, lag_s: float) -> StoredEnd:
    return StoredEnd(
        end.target,
        end.incarnation,
        end.failure_domain,
        round((end.at + lag_s) * MS_PER_S),
        round((end.began + lag_s) * MS_PER_S),
        tuple(sorted(end.fingerprints)),
    )


def _to_end(stored: StoredEnd, lag_s: float, now: float) -> TargetEnd:
    """Return the end on this host's clock; it may seem later than now by the clock of another."""
    return TargetEnd(
        target=stored.target,
        incarnation=stored.incarnation,
        failure_domain=stored.failure_domain,
        at=min(now, stored.at_ms / MS_PER_S - lag_s),
        began=min(now, stored.began_ms / MS_PER_S - lag_s),
        fingerprints=frozenset(stored.fingerprints),
    )
