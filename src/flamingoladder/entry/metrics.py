"""Prometheus metrics of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable

    from reactivex import Observable

    from flamingoladder.timeline.events import Event

LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class EntryMetrics:
    """Counters and latency histograms; callers' input can't add label values without bound."""

    __slots__ = (
        "_count_by_kind",
        "_count_by_status",
        "_events",
        "_latency_by_route",
        "_latency_s",
        "_memory",
        "_registry",
        "_requests",
    )

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
        # Looking up a label in the library takes longer than counting.
        self._count_by_kind: dict[str, Counter] = {}
        self._count_by_status: dict[int, Counter] = {}
        self._latency_by_route: dict[str, Histogram] = {}
        self._memory = Counter(
            "flamingoladder_memory",
            "Bodies refused and connections closed to bound memory and descriptors",
            ["kind", "reason"],
            registry=self._registry,
        )
        dropped = Gauge(
            "flamingoladder_log_lines_dropped", "Log lines dropped", registry=self._registry
        )
        dropped.set_function(dropped_lines)

    def count_events(self, events: Observable[Event]) -> None:
        """Count each event of the stream."""
        events.subscribe(self._count)

    def count_request(self, route: str, status: int, seconds: float) -> None:
        """Count an answered request."""
        requests = self._count_by_status.get(status)
        if requests is None:
            requests = self._count_by_status[status] = self._requests.labels(str(status))
        requests.inc()
        latency_s = self._latency_by_route.get(route)
        if latency_s is None:
            latency_s = self._latency_by_route[route] = self._latency_s.labels(route)
        latency_s.observe(seconds)

    def count_memory(self, kind: str, reason: str) -> None:
        """Count a refused body or a closed connection."""
        self._memory.labels(kind, reason).inc()

    def watch_memory(
        self, held_bytes: Callable[[], float], limit_bytes: Callable[[], float]
    ) -> None:
        """Show the use of the memory budget."""
        for name, value in (("held", held_bytes), ("limit", limit_bytes)):
            gauge = Gauge(
                f"flamingoladder_memory_{name}_bytes",
                f"Memory budget, bytes: {name}",
                registry=self._registry,
            )
            gauge.set_function(value)

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry)

    def _count(self, event: Event) -> None:
        events = self._count_by_kind.get(event.kind)
        if events is None:
            events = self._count_by_kind[event.kind] = self._events.labels(event.kind)
        events.inc()
