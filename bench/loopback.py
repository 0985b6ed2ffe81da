"""A tiny upstream and a closed-loop client on raw loopback sockets."""

from __future__ import annotations

import argparse
import asyncio
from time import perf_counter

BODY = b"x" * 1_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = b"content-length:"
WHOLE_RESPONSE_TIMEOUT_S = 10.0


class TinyUpstream(asyncio.Protocol):
    """Answers each request head with the same bytes; the requests have no bodies."""

    __slots__ = ("_transport", "_unread")

    def __init__(self) -> None:
        self._unread = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Answer all requests in ``data``."""
        *heads, self._unread = (self._unread + data).split(HEAD_END)
        if heads and self._transport is not None:
            self._transport.write(ANSWER * len(heads))


async def serve(first_port: int, count: int) -> None:
    """Serve on consecutive ports for good."""
    loop = asyncio.get_running_loop()
    for port in range(first_port, first_port + count):
        await loop.create_server(TinyUpstream, "127.0.0.1", port)
    await asyncio.Event().wait()


class Client(asyncio.Protocol):
    """One connection that sends the same request again and again."""

    __slots__ = ("_answered", "_received", "_transport", "_wanted")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._wanted = 0
        self._answered: asyncio.Future[bytes] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """End a request in progress."""
        if self._answered is not None and not self._answered.done():
            self._answered.set_exception(error or ConnectionError("closed"))

    def data_received(self, data: bytes) -> None:
        """Take in a part of the answer."""
        self._received += data
        if not self._wanted:
            self._wanted = _whole_length(self._received)
        if self._wanted and len(self._received) >= self._wanted and self._answered is not None:
            self._answered.set_result(self._received)

    async def exchange(self, request: bytes) -> bytes:
        """Send the request and return the whole response."""
        assert self._transport is not None
        self._received = b""
        self._wanted = 0
        self._answered = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._answered

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()


class Sample:
    """Latencies in seconds of answered requests, and the time that all took."""

    __slots__ = ("elapsed_s", "latencies_s", "refused")

    def __init__(self) -> None:
        self.latencies_s: list[float] = []
        self.refused = 0
        self.elapsed_s = 0.0

    @property
    def per_s(self) -> float:
        """Return answered requests per second."""
        return len(self.latencies_s) / self.elapsed_s

    def quantile_ms(self, part: float) -> float:
        """Return a quantile of the latencies, in milliseconds."""
        ordered = sorted(self.latencies_s)
        return 1_000 * ordered[min(len(ordered) - 1, int(part * len(ordered)))]


async def closed_loop(port: int, request: bytes, connections: int, requests: int) -> Sample:
    """Send ``requests`` requests over ``connections`` connections, one at a time on each."""
    sample = Sample()
    left = iter(range(requests))
    started = perf_counter()
    senders = (_send_while(port, request, left, sample) for _ in range(connections))
    await asyncio.gather(*senders)
    sample.elapsed_s = perf_counter() - started
    return sample


async def _send_while(port: int, request: bytes, left: object, sample: Sample) -> None:
    loop = asyncio.get_running_loop()
    _, client = await loop.create_connection(Client, "127.0.0.1", port)
    for _ in left:  # type: ignore[attr-defined]
        sent = perf_counter()
        response = await asyncio.wait_for(client.exchange(request), WHOLE_RESPONSE_TIMEOUT_S)
        if response.startswith(b"HTTP/1.1 200"):
            sample.latencies_s.append(perf_counter() - sent)
        else:
            sample.refused += 1
    client.close()


def _whole_length(received: bytes) -> int:
    head, end, _ = received.partition(HEAD_END)
    if not end:
        return 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(CONTENT_LENGTH):
            return len(head) + len(end) + int(line[len(CONTENT_LENGTH) :])
    return len(head) + len(end)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("first_port", type=int)
    parser.add_argument("count", type=int)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.first_port, arguments.count))
