"""Flooding servers in a process of their own: ``python -m bench.flood_servers COUNT``."""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack
from itertools import cycle
from itertools import islice

from flamingoladder.standins.flooding import BODY_FLOODS
from flamingoladder.standins.flooding import OTHER_FLOODS
from flamingoladder.standins.flooding import FloodingServer


async def serve(count: int) -> None:
    """Print the URLs of this many servers, and serve until the process is ended."""
    async with AsyncExitStack() as stack:
        for flood in islice(cycle((*OTHER_FLOODS, *BODY_FLOODS)), count):
            print(await stack.enter_async_context(FloodingServer(flood).serving()), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
