"""The demo's report: calls for each service, and the promises."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.demo.promises import Promise
    from flamingoladder.demo.traffic import Sent

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
PERCENTILES = (50, 90, 99)
HEADER = f"{'service':<12}{'sent':>7}{'answered':>10}{'not run':>9}{'may have run':>14}" + "".join(
    f"{f'p{percentile} ms':>10}" for percentile in PERCENTILES
)


def service_lines(sent: Sequence[Sent]) -> list[str]:
    """Return a table with a line for each service."""
    services = sorted({each.call.service for each in sent})
    lines = [HEADER]
    for service in services:
        lines.append(_line(service, [each for each in sent if each.call.service == service]))
    return lines


def refusal_lines(sent: Sequence[Sent]) -> list[str]:
    """Return a line for each reason of refusals."""
    reasons = Counter(
        (each.outcome.error.verdict, each.outcome.error.reason)
        for each in sent
        if each.outcome is not None and each.outcome.is_error()
    )
    return [f"  {count:>5} {verdict} {reason}" for (verdict, reason), count in reasons.items()]


def promise_lines(promises: Sequence[Promise]) -> list[str]:
    """Return a line for each promise."""
    return [
        f"{'kept  ' if not promise.broken_by else 'BROKEN'} {promise.text}"
        + (f": {', '.join(promise.broken_by[:3])}" if promise.broken_by else "")
        for promise in promises
    ]


def _line(service: str, sent: Sequence[Sent]) -> str:
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    counts: Counter[Verdict] = Counter()
    for each in sent:
        if each.outcome is None:
            counts[Verdict.MAY_HAVE_RUN] += 1
        elif each.outcome.is_ok():
            counts[Verdict.RAN] += 1
            histogram.record_value(int(each.duration_s * US_PER_S))
        else:
            counts[each.outcome.error.verdict] += 1
    latencies = "".join(
        f"{histogram.get_value_at_percentile(percentile) / US_PER_MS:>10.1f}"
        for percentile in PERCENTILES
    )
    return (
        f"{service:<12}{len(sent):>7}{counts[Verdict.RAN]:>10}{counts[Verdict.NOT_RUN]:>9}"
        f"{counts[Verdict.MAY_HAVE_RUN]:>14}{latencies}"
    )
