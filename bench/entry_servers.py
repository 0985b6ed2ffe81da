"""The store and the targets of a measured entry host, in one process.

``python -m bench.entry_servers PORT`` serves the store on ``PORT`` and the targets on those after.
"""

from __future__ import annotations

import asyncio
import sys
from base64 import b64encode
from typing import Any

import msgspec

from flamingoladder.platform import headers
from flamingoladder.platform.standins.deployment import configuration
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.platform.standins.store import platform_application
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.server import ApplicationServer

TARGETS = 130
WORKSPACES = 88
ROUTES_PER_KIND = 6
AMPLE_RATE_PER_S = 1_000_000.0
DOMAINS = ("north-a", "south-a", "south-b")
BODY = b"x" * 1_000
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = b"content-length:"
REQUEST_ID = headers.REQUEST_ID.lower().encode() + b":"


class TinyTarget(asyncio.Protocol):
    """Answers each whole request at once, with the fields that a host expects."""

    def __init__(self) -> None:
        self._received = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Answer the request once it is whole."""
        self._received += data
        head, end, body = self._received.partition(HEAD_END)
        if not end:
            return
        lines = head.split(b"\r\n")[1:]
        if len(body) < int(_value(lines, CONTENT_LENGTH) or 0):
            return
        self._received = b""
        fields = {
            headers.REQUEST_ID: _value(lines, REQUEST_ID).decode(),
            headers.SERVER_LOAD: "0,0,3",
            headers.SIGNATURE: "signed",
            "Content-Type": "application/octet-stream",
            "Content-Length": str(len(BODY)),
        }
        answer = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        assert self._transport is not None
        self._transport.write(f"HTTP/1.1 200 OK\r\n{answer}\r\n".encode() + BODY)


def _value(lines: list[bytes], name: bytes) -> bytes:
    for line in lines:
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b""


def key(number: int) -> str:
    """Return the key of a workspace."""
    return f"key-of-workspace-{number:02}"


def _configuration() -> dict[str, Any]:
    """Return a configuration with many workspaces and routes."""
    names = [f"workspace-{number:02}" for number in range(WORKSPACES)]
    found = configuration(
        1,
        {name: [key(number)] for number, name in enumerate(names)},
        dict.fromkeys(names, AMPLE_RATE_PER_S),
    )
    [host] = found["virtual_hosts"]
    host["paths"] += [
        {
            **path,
            "name": f"{path['name']}-{number}",
            "path_prefix": f"{path['path_prefix']}{number}/",
            "priority": number,
        }
        for path in tuple(host["paths"])
        for number in range(ROUTES_PER_KIND - 1)
    ]
    return found


def _target(number: int, port: int) -> tuple[str, bytes]:
    entry = {
        "service": ("catalogue", "bookings")[number % 2],
        "address": f"{LOOPBACK}:{port}",
        "zone": DOMAINS[number % len(DOMAINS)],
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "warmup_left_s": 0,
        "seq": 1,
        "born": 1,
    }
    return f"i-{number:012x}", msgspec.json.encode(entry)


async def _serve(port: int) -> None:
    loop = asyncio.get_running_loop()
    rows = [(("op", "", "config"), msgspec.json.encode(_configuration()))]
    for number in range(TARGETS):
        target_port = port + 1 + number
        await loop.create_server(TinyTarget, LOOPBACK, target_port)
        name, value = _target(number, target_port)
        rows.append((("servers", "", name), value))
    state = PlatformState()
    state.tables.apply([(row, b64encode(value).decode()) for row, value in rows], [])
    await ApplicationServer(platform_application(state), LOOPBACK, port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1])))
