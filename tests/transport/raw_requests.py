"""Requests as bytes on the wire."""

from __future__ import annotations

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def put(size: int) -> bytes:
    """Return a request with a body of ``size`` bytes."""
    return b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
