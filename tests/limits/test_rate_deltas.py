"""Tests of the delta encoding of rates in reports."""

from __future__ import annotations

from flamingoladder.limits.rate_deltas import REPORTS_PER_FULL_REPORT
from flamingoladder.limits.rate_deltas import RateDeltas
from flamingoladder.limits.rate_limiter import RateReport

OLD, NEW = RateReport(1, 0.5), RateReport(2, 0.7)


def test_reports_hold_changes_and_periodically_all_rates() -> None:
    deltas = RateDeltas()
    rates = {"a": OLD, "b": OLD}
    assert deltas.next_report(rates) == rates
    assert deltas.next_report({"a": OLD, "b": NEW}) == {"b": NEW}
    for _ in range(REPORTS_PER_FULL_REPORT - 2):
        assert deltas.next_report({"a": OLD, "b": NEW}) == {}
    assert deltas.next_report({"a": OLD, "b": NEW}) == {"a": OLD, "b": NEW}
