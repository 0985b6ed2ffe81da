"""A crowd of bodies at the gateway, which held all of them at once before."""

from __future__ import annotations

import asyncio

from flamingoladder.memory.budget import MIB
from flamingoladder.memory.budget import MemoryBudget
from tests.gateway.fakes import running_gateway
from tests.gateway.states import KEY
from tests.waiting import eventually

LIMIT_BYTES = 8 * MIB
CLIENTS = 30
BODY_BYTES = 1_000_000


async def test_bodies_short_of_their_end_leave_room_for_an_ordinary_request() -> None:
    budget = MemoryBudget(LIMIT_BYTES)
    head = (
        f"POST /services/desk/bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n"
        f"Idempotency-Key: b1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    async with running_gateway(memory=budget) as gateway:
        opened = [
            await asyncio.open_connection("127.0.0.1", gateway.server.port) for _ in range(CLIENTS)
        ]
        for _, writer in opened:
            writer.write(head.encode() + bytes(BODY_BYTES - 1))
        await eventually(lambda: budget.held_bytes > LIMIT_BYTES // 2)
        other = {"Idempotency-Key": "b2"}
        reply = await gateway.send("/services/desk/bookings", "POST", headers=other)
        assert reply.status == 200
        assert budget.held_bytes <= LIMIT_BYTES
        for _, writer in opened:
            writer.transport.abort()
        await eventually(lambda: budget.held_bytes == 0)
        assert len(gateway.dispatcher.requests) == 1
