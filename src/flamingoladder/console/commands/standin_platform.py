"""``flamingoladder standin-platform``."""

from __future__ import annotations

import asyncio
import sys

from flamingoladder.console import environment
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.platform.standins.store import platform_application
from flamingoladder.standins.server import ApplicationServer
from flamingoladder.standins.server import wait_for_signal

USAGE_ERROR = 2


def standin_platform(
    *,
    port: int,
    address: str = "127.0.0.1",
    token: str = "",
) -> int:
    """Run a stand-in of the platform: table, object store and host list, all in memory.

    :param port: TCP port to listen on
    :param address: IP address to listen on
    :param token: bearer token that callers must present; else FLAMINGOLADDER_PLATFORM_TOKEN
    """
    token = token or environment.text("PLATFORM_TOKEN")
    if not token:
        print("--token or FLAMINGOLADDER_PLATFORM_TOKEN must be set", file=sys.stderr)
        return USAGE_ERROR
    asyncio.run(_serve(port, address, token))
    return 0


async def _serve(port: int, address: str, token: str) -> None:
    server = ApplicationServer(platform_application(PlatformState(), token), address, port)
    await server.start()
    await wait_for_signal()
    await server.stop()
