"""Reads the bodies of callers' requests within the budget."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import xxhash

from flamingoladder.memory.body import BLOCK_BYTES
from flamingoladder.memory.body import PartedBody
from flamingoladder.memory.budget import SMALL_BYTES
from flamingoladder.memory.connection_guard import guard_of
from flamingoladder.memory.reservation import Reservation
from flamingoladder.memory.stalls import Transfer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp import web

    from flamingoladder.memory.accounts import Account
    from flamingoladder.memory.body import Content
    from flamingoladder.memory.budget import MemoryBudget

RETRY_AFTER_S = 1.0
# Reading pauses for this long before a body is refused for want of room.
PAUSE_S = 0.5
# The connection buffers up to twice as much.
READ_BYTES = 32_768
# Growth of a body without a declared length, so that it asks rarely.
GROWTH_BYTES = 262_144


class BodyReader:
    """Reads bodies; those over ``SMALL_BYTES`` are held in parts.

    A declared length is reserved whole before a byte is read, so that two bodies never wait for
    one another. A body without one that can't grow within ``PAUSE_S`` is refused.
    """

    __slots__ = ("_budget", "_setting")

    def __init__(self, budget: MemoryBudget, setting: str = "limits.max_body_bytes") -> None:
        self._budget = budget
        self._setting = setting

    def length_refusal(self, request: web.BaseRequest, max_bytes: int) -> Refusal | None:
        """Return the refusal of a request whose declared length is over the limit.

        A body that only this host has no room for is refused as one that another may take.
        """
        declared_bytes = request.content_length or 0
        if declared_bytes > max_bytes:
            return self._too_large(max_bytes)
        return _no_room() if declared_bytes > self._budget.large_limit_bytes else None

    async def read(
        self,
        request: web.BaseRequest,
        max_bytes: int,
        deadline: float,
        accounts: tuple[Account, ...],
    ) -> tuple[Content, Reservation] | Refusal:
        """Return the whole body with its reservation, or a refusal: the request has not run."""
        reservation = Reservation(self._budget, accounts)
        if not request.body_exists:
            return b"", reservation
        too_large = self.length_refusal(request, max_bytes)
        if too_large is not None:
            return too_large
        reader = request.content
        if reader.is_eof() and reader.total_bytes <= SMALL_BYTES:
            # Small requests have mostly arrived whole with their head.
            body = reader.read_nowait()
            if len(body) > max_bytes:
                return self._too_large(max_bytes)
            now = asyncio.get_running_loop().time()
            if not await reservation.grow_when_free(len(body), now, min(now + PAUSE_S, deadline)):
                return _no_room()
            return body, reservation
        try:
            return await self._read(request, reservation, max_bytes, deadline)
        except BaseException:
            reservation.release()
            raise

    async def _read(
        self,
        request: web.BaseRequest,
        reservation: Reservation,
        max_bytes: int,
        deadline: float,
    ) -> tuple[Content, Reservation] | Refusal:
        now = asyncio.get_running_loop().time()
        declared_bytes = request.content_length or 0
        if not await reservation.grow_when_free(
            declared_bytes or SMALL_BYTES, now, min(now + PAUSE_S, deadline)
        ):
            return _no_room()
        timeout = asyncio.timeout_at(deadline)
        transfer = Transfer(timeout, lambda: reservation.held_bytes, now)
        self._budget.transfers.add(transfer)
        request.content.set_read_chunk_size(READ_BYTES)
        _expect_body(request)
        try:
            async with timeout:
                if 0 < declared_bytes <= SMALL_BYTES:
                    body: Content | Refusal = await _read_small(request.content)
                else:
                    body = await self._read_parts(request, reservation, transfer, max_bytes)
        except TimeoutError:
            body = _stalled() if transfer.ended else _incomplete()
        finally:
            self._budget.transfers.remove(transfer)
        if isinstance(body, Refusal):
            reservation.release()
            return body
        return body, reservation

    async def _read_parts(
        self,
        request: web.BaseRequest,
        reservation: Reservation,
        transfer: Transfer,
        max_bytes: int,
    ) -> Content | Refusal:
        loop, reader = asyncio.get_running_loop(), request.content
        declared_bytes = request.content_length or 0
        in_blocks = not 0 < declared_bytes <= BLOCK_BYTES
        body = PartedBody(reservation, xxhash.xxh3_64(), in_blocks=in_blocks)
        reserved_bytes = reservation.held_bytes
        while part := await reader.readany():
            now = loop.time()
            size = len(body) + len(part)
            if size > max_bytes:
                return self._too_large(max_bytes)
            if size > reserved_bytes:
                growth_bytes = max(GROWTH_BYTES, size - reserved_bytes)
                if not await reservation.grow_when_free(growth_bytes, now, now + PAUSE_S):
                    return _no_room()
                reserved_bytes += growth_bytes
            body.add(part)
            self._budget.transfers.note_progress(transfer, now)
        return body.joined() if len(body) <= SMALL_BYTES else body

    def _too_large(self, max_bytes: int) -> Refusal:
        detail = f"the body is over the limit of {max_bytes} bytes (setting {self._setting})"
        return Refusal.not_run(Reason.BODY_TOO_LARGE, detail)


async def _read_small(reader: StreamReader) -> bytes:
    body = bytearray()
    while part := await reader.readany():
        body += part
    return bytes(body)


def _expect_body(request: web.BaseRequest) -> None:
    guard = guard_of(request.transport)
    if guard is not None:
        guard.expect_body()


def _no_room() -> Refusal:
    detail = "this host holds as many large bodies and answers as it can"
    return Refusal.not_run(Reason.NO_MEMORY, detail, RETRY_AFTER_S)


def _incomplete() -> Refusal:
    detail = "the deadline passed before the whole body was received"
    return Refusal.not_run(Reason.BODY_INCOMPLETE, detail)


def _stalled() -> Refusal:
    detail = "the body stalled while others wanted its memory"
    return Refusal.not_run(Reason.BODY_INCOMPLETE, detail)
