"""Reads the body of an answer within bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.transport.answer_memory import MIB

if TYPE_CHECKING:
    import aiohttp

    from flamingoladder.transport.answer_memory import AnswerMemory

MAX_ANSWER_BYTES = 16 * MIB


async def read_body(response: aiohttp.ClientResponse, memory: AnswerMemory) -> bytes | None:
    """Return the whole body, or None if it is too large to be kept in memory."""
    if (response.content_length or 0) > MAX_ANSWER_BYTES:
        return None
    body = bytearray()
    try:
        async for part in response.content.iter_any():
            if len(body) + len(part) > MAX_ANSWER_BYTES or not memory.take(len(body), len(part)):
                return None
            body += part
    finally:
        memory.release(len(body))
    return bytes(body)
