"""Request counts and timings for statsd."""

from __future__ import annotations

from typing import TYPE_CHECKING

from statsd import StatsClient

if TYPE_CHECKING:
    from reactivex import Observable
    from reactivex.abc import DisposableBase

    from flamingoladder.gateway.messages import RequestCompleted

MS_PER_S = 1_000
UNKNOWN = "unknown"


class RequestMetrics:
    """Sender of ``requests.<service>.<verdict or reason>`` counts and a timing per answer."""

    __slots__ = ("_client",)

    def __init__(self, client: StatsClient) -> None:
        self._client = client

    @classmethod
    def from_config(cls, statsd_host: str, statsd_port: int, host: str) -> RequestMetrics:
        """Return metrics that are sent over UDP under ``flamingoladder.<host>``."""
        return cls(StatsClient(statsd_host, statsd_port, prefix=f"flamingoladder.{host}"))

    def follow(self, completed: Observable[RequestCompleted]) -> DisposableBase:
        """Send metrics for each request of the stream until the result is disposed of."""
        return completed.subscribe(self._send)

    def _send(self, request: RequestCompleted) -> None:
        name = f"requests.{request.service or UNKNOWN}"
        if request.reason is None:
            self._client.timing(name, request.duration_s * MS_PER_S)
        self._client.incr(f"{name}.{request.reason or request.verdict}")
