"""Reads the body of an answer within bounds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.memory.body import PartedBody
from flamingoladder.memory.budget import MIB
from flamingoladder.memory.budget import SMALL_BYTES

if TYPE_CHECKING:
    import aiohttp

    from flamingoladder.memory.body import Content
    from flamingoladder.memory.reservation import Reservation

MAX_ANSWER_BYTES = 16 * MIB
# Reading pauses for this long before an answer is given up for want of room.
PAUSE_S = 2.0
# Growth of an answer without a declared length, so that it asks rarely.
GROWTH_BYTES = 262_144


async def read_body(response: aiohttp.ClientResponse, reservation: Reservation) -> Content | None:
    """Return the whole body, or None if it is too large to be kept in memory.

    A declared length is reserved whole before more is read, so that two answers never wait for one
    another.
    """
    loop = asyncio.get_running_loop()
    declared_bytes = response.content_length or 0
    if declared_bytes > MAX_ANSWER_BYTES:
        return None
    if declared_bytes > SMALL_BYTES and not await _grow(reservation, declared_bytes, loop.time()):
        return None
    body = PartedBody()
    while part := await response.content.readany():
        size = len(body) + len(part)
        if size > MAX_ANSWER_BYTES:
            return None
        if size > reservation.held_bytes:
            growth_bytes = size if size <= SMALL_BYTES else GROWTH_BYTES + len(part)
            if not await _grow(reservation, growth_bytes - reservation.held_bytes, loop.time()):
                return None
        body.add(part)
    return body.joined() if len(body) <= SMALL_BYTES else body


async def _grow(reservation: Reservation, more_bytes: int, now: float) -> bool:
    return await reservation.grow_when_free(more_bytes, now, now + PAUSE_S)
