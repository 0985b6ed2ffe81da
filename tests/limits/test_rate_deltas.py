"""Tests of what reports tell of rates."""

from __future__ import annotations

from flamingoladder.limits.rate_deltas import REPORTS_PER_FULL_REPORT
from flamingoladder.limits.rate_deltas import RateDeltas
from flamingoladder.limits.rate_limiter import RateReport

OLD, NEW = RateReport(1, 0.5), RateReport(2, 0.7)


def test_a_report_tells_what_changed_and_now_and_then_all() -> None:
    news = RateDeltas()
    rates = {"a": OLD, "b": OLD}
    assert news.next_report(rates) == rates
    assert news.next_report({"a": OLD, "b": NEW}) == {"b": NEW}
    for _ in range(REPORTS_PER_FULL_REPORT - 2):
        assert news.next_report({"a": OLD, "b": NEW}) == {}
    assert news.next_report({"a": OLD, "b": NEW}) == {"a": OLD, "b": NEW}
