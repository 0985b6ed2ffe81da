"""Tests of what reports tell of rates."""

from __future__ import annotations

from flamingoladder.limits.news import REPORTS_TO_A_WHOLE_ONE
from flamingoladder.limits.news import RateNews
from flamingoladder.limits.rates import RateReport

OLD, NEW = RateReport(1, 0.5), RateReport(2, 0.7)


def test_a_report_tells_what_changed_and_now_and_then_all() -> None:
    news = RateNews()
    rates = {"a": OLD, "b": OLD}
    assert news.pick(rates) == rates
    assert news.pick({"a": OLD, "b": NEW}) == {"b": NEW}
    for _ in range(REPORTS_TO_A_WHOLE_ONE - 2):
        assert news.pick({"a": OLD, "b": NEW}) == {}
    assert news.pick({"a": OLD, "b": NEW}) == {"a": OLD, "b": NEW}
