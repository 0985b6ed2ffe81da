"""Waits with a bound."""

from __future__ import annotations

import asyncio


async def is_set_within(event: asyncio.Event, timeout_s: float) -> bool:
    """Return whether the event is set now or within ``timeout_s`` seconds."""
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return False
    return True
