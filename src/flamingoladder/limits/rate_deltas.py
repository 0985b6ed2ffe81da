"""Delta encoding of the rates in a host's reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.limits.rate_limiter import RateReport

REPORTS_PER_FULL_REPORT = 8


class RateDeltas:
    """Reports changed rates only, and all rates in one of ``REPORTS_PER_FULL_REPORT`` reports.

    Traffic between regions is expensive; full reports make up for lost deltas.
    """

    __slots__ = ("_report_count", "_reported")

    def __init__(self) -> None:
        self._reported: dict[str, RateReport] = {}
        self._report_count = 0

    @property
    def is_full(self) -> bool:
        """Return whether the latest report was a full one."""
        return self._report_count % REPORTS_PER_FULL_REPORT == 1

    def next_report(self, rates: dict[str, RateReport]) -> dict[str, RateReport]:
        """Return the entries of ``rates`` that the next report contains."""
        self._report_count += 1
        previous, self._reported = self._reported, rates
        if self.is_full:
            return rates
        return {name: report for name, report in rates.items() if report != previous.get(name)}
