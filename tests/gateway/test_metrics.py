"""Tests of request counts and timings."""

from __future__ import annotations

import socket

from flamingoladder.gateway.metrics import RequestMetrics
from tests.gateway.fakes import running_gateway


async def test_requests_are_counted_by_service_and_outcome() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(2.0)
        async with running_gateway() as gateway:
            address, port = receiver.getsockname()
            metrics = RequestMetrics.from_config(address, port, "h1")
            metrics.follow(gateway.server.completed_requests)
            for path in ("/services/desk/x", "/services/none/x", "/services/desk/fault"):
                await gateway.send(path)
        received = [receiver.recv(1_000).decode() for _ in range(4)]
    assert received[0].startswith("flamingoladder.h1.requests.desk:")
    assert received[0].endswith("|ms")
    assert received[1:] == [
        "flamingoladder.h1.requests.desk.ran:1|c",
        "flamingoladder.h1.requests.unknown.unknown_service:1|c",
        "flamingoladder.h1.requests.desk.internal_error:1|c",
    ]
