"""Picks what a host's reports tell of its rates."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.limits.rate_limiter import RateReport

REPORTS_PER_FULL_REPORT = 8


class RateDeltas:
    """Tells what changed since the report before, and all in one of ``REPORTS_TO_A_WHOLE_ONE``.

    Bytes between regions are dear; whole reports make up for lost ones.
    """

    __slots__ = ("_reports", "_told")

    def __init__(self) -> None:
        self._told: dict[str, RateReport] = {}
        self._reports = 0

    @property
    def is_full(self) -> bool:
        """Return whether the report picked last was whole."""
        return self._reports % REPORTS_PER_FULL_REPORT == 1

    def next_report(self, rates: dict[str, RateReport]) -> dict[str, RateReport]:
        """Return what the next report is to tell of ``rates``."""
        self._reports += 1
        before, self._told = self._told, rates
        if self.is_full:
            return rates
        return {name: report for name, report in rates.items() if report != before.get(name)}
