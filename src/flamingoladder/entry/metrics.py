"""Prometheus metrics of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from prometheus_client.metrics_core import Metric
    from reactivex import Observable

    from flamingoladder.admission.control import AdmissionControl
    from flamingoladder.timeline.events import Event

LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Workspaces with the most queued requests; the others are added up.
MAX_WORKSPACE_LABELS = 20
OTHER_WORKSPACES = "(others)"


class QueueCollector(Collector):
    """Reads the state of the queues when the metrics are fetched."""

    __slots__ = ("_admission",)

    def __init__(self, admission: AdmissionControl) -> None:
        self._admission = admission

    def collect(self) -> Iterator[Metric]:
        """Yield the queued requests by workspace, and the refused ones by reason."""
        queued = GaugeMetricFamily(
            "flamingoladder_queued_requests",
            "Requests that wait for a target, by workspace",
            labels=["workspace"],
        )
        for workspace, count in _bounded(self._admission.queued_by_workspace).items():
            queued.add_metric([workspace], count)
        yield queued
        refused = CounterMetricFamily(
            "flamingoladder_busy_refusals",
            "Requests refused while all targets were busy, by reason",
            labels=["reason"],
        )
        for reason, count in self._admission.refused_by_reason.items():
            refused.add_metric([reason.value], count)
        yield refused


class EntryMetrics:
    """Counters and latency histograms; callers' input can't add label values without bound."""

    __slots__ = ("_events", "_latency_s", "_registry", "_requests")

    def __init__(self, dropped_lines: Callable[[], float]) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "flamingoladder_requests", "Requests by status", ["status"], registry=self._registry
        )
        self._latency_s = Histogram(
            "flamingoladder_request_seconds",
            "Time from a request's arrival to its answer",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._events = Counter(
            "flamingoladder_events", "Events by kind", ["kind"], registry=self._registry
        )
        dropped = Gauge(
            "flamingoladder_log_lines_dropped", "Log lines dropped", registry=self._registry
        )
        dropped.set_function(dropped_lines)

    def count_events(self, events: Observable[Event]) -> None:
        """Count each event of the stream."""
        events.subscribe(self._count)

    def watch_queues(self, admission: AdmissionControl) -> None:
        """Offer the state of the queues."""
        self._registry.register(QueueCollector(admission))

    def count_request(self, route: str, status: int, seconds: float) -> None:
        """Count an answered request."""
        self._requests.labels(str(status)).inc()
        self._latency_s.labels(route).observe(seconds)

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry)

    def _count(self, event: Event) -> None:
        self._events.labels(event.kind).inc()


def _bounded(count_by_workspace: Mapping[str, int]) -> dict[str, int]:
    ordered = sorted(count_by_workspace.items(), key=_count_of, reverse=True)
    bounded = dict(ordered[:MAX_WORKSPACE_LABELS])
    rest = sum(count for _, count in ordered[MAX_WORKSPACE_LABELS:])
    return {**bounded, OTHER_WORKSPACES: rest} if rest else bounded


def _count_of(item: tuple[str, int]) -> int:
    return item[1]
