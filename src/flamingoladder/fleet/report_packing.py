"""Compact form of reports that pass between failure domains."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import xxhash

from flamingoladder.fleet.messages import ForwardedReport
from flamingoladder.fleet.messages import PackedReport
from flamingoladder.fleet.messages import PackedReports
from flamingoladder.fleet.messages import RegionReports
from flamingoladder.limits.rate_limiter import RateReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from flamingoladder.fleet.messages import HostReport

HASH_BYTES = 4
TENTHS = 10
V = TypeVar("V")


class KnownNames:
    """Names of workspaces and targets by hash; names with the same hash are left out."""

    __slots__ = ("by_hash", "hash_by_name")

    def __init__(self, names: Iterable[str]) -> None:
        self.by_hash: dict[bytes, str] = {}
        collisions: set[bytes] = set()
        for name in names:
            found = _hash(name)
            if self.by_hash.setdefault(found, name) != name:
                collisions.add(found)
        for found in collisions:
            del self.by_hash[found]
        self.hash_by_name = {name: found for found, name in self.by_hash.items()}


class ReportPacker:
    """Packs reports by replacing names with hashes, and unpacks them.

    Names were over a third of the compressed bytes of reports. A name that the packing host does
    not know stays; a hash that the unpacking host does not know is dropped, as its entry concerns
    nothing that this host has, and later reports repeat it.

    ``list_names`` returns the names that this host knows; it is called again when the result of
    ``version`` changes.
    """

    __slots__ = ("_list_names", "_names", "_seen_version", "_version")

    def __init__(
        self, list_names: Callable[[], Iterable[str]], version: Callable[[], object]
    ) -> None:
        self._list_names = list_names
        self._version = version
        self._names = KnownNames(())
        self._seen_version: object = None

    def pack(self, reports: RegionReports) -> PackedReports:
        """Return the compact form of the reports."""
        hashes = self._current_names().hash_by_name
        return PackedReports(tuple(_packed(of, hashes) for of in reports.reports))

    def unpack(self, packed: PackedReports) -> RegionReports:
        """Return the reports."""
        names = self._current_names().by_hash
        return RegionReports(tuple(_unpacked(of, names) for of in packed.reports))

    def _current_names(self) -> KnownNames:
        version = self._version()
        if version != self._seen_version:
            self._names = KnownNames(self._list_names())
            self._seen_version = version
        return self._names


@lru_cache(maxsize=16_384)
def _hash(name: str) -> bytes:
    return xxhash.xxh32_digest(name.encode())


def _packed(forwarded: ForwardedReport, hashes: Mapping[str, bytes]) -> PackedReport:
    report = forwarded.report
    rates = {name: of for name, of in report.rates_by_workspace.items() if name in hashes}
    counts = {name: of for name, of in report.in_flight_by_target.items() if name in hashes}
    return PackedReport(
        forwarded.host,
        forwarded.incarnation,
        msgspec.structs.replace(
            report,
            rates_by_workspace=_without(report.rates_by_workspace, rates),
            in_flight_by_target=_without(report.in_flight_by_target, counts),
        ),
        b"".join(hashes[name] for name in rates),
        tuple(rate.admitted for rate in rates.values()),
        tuple(round(rate.demand_per_s * TENTHS) for rate in rates.values()),
        b"".join(hashes[name] for name in counts),
        tuple(counts.values()),
    )


def _unpacked(packed: PackedReport, names: Mapping[bytes, str]) -> ForwardedReport:
    rates = zip(_split(packed.workspaces), packed.admitted, packed.demands, strict=False)
    counts = zip(_split(packed.targets), packed.in_flight, strict=False)
    report: HostReport = msgspec.structs.replace(
        packed.report,
        rates_by_workspace=packed.report.rates_by_workspace
        | {
            names[found]: RateReport(admitted, demand / TENTHS)
            for found, admitted, demand in rates
            if found in names
        },
        in_flight_by_target=packed.report.in_flight_by_target
        | {names[found]: count for found, count in counts if found in names},
    )
    return ForwardedReport(packed.host, packed.incarnation, report)


def _split(hashes: bytes) -> list[bytes]:
    return [hashes[at : at + HASH_BYTES] for at in range(0, len(hashes), HASH_BYTES)]


def _without(entries: Mapping[str, V], left_out: Mapping[str, V]) -> dict[str, V]:
    return {name: value for name, value in entries.items() if name not in left_out}
