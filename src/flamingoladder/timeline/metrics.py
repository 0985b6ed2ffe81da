"""Counts events and times requests in statsd."""

from __future__ import annotations

from typing import TYPE_CHECKING

from statsd import StatsClient

if TYPE_CHECKING:
    from reactivex import Observable
    from reactivex.abc import DisposableBase

    from flamingoladder.timeline.events import Event

DURATION_FIELD = "duration_ms"


class EventMetrics:
    """Sends one counter for each event, and a timing for events that carry a duration."""

    __slots__ = ("_client",)

    def __init__(self, client: StatsClient) -> None:
        self._client = client

    @classmethod
    def from_config(cls, statsd_host: str, statsd_port: int, host: str) -> EventMetrics:
        """Return metrics that are sent over UDP under ``flamingoladder.<host>``."""
        return cls(StatsClient(statsd_host, statsd_port, prefix=f"flamingoladder.{host}"))

    def follow(self, events: Observable[Event]) -> DisposableBase:
        """Send metrics for each event of the stream until the result is disposed of."""
        return events.subscribe(self._send)

    def _send(self, event: Event) -> None:
        self._client.incr(event.kind)
        duration = event.fields.get(DURATION_FIELD)
        if duration is not None:
            self._client.timing(event.kind, float(duration))
