"""Tests of the relay."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from flamingoladder.standins.relay import AnswerFault
from flamingoladder.standins.relay import Relay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

ADDRESS = "127.0.0.1"
GIVE_UP_S = 0.05
PATIENCE_S = 10.0


class Echo:
    """A server that answers each chunk with itself and keeps what it got."""

    def __init__(self) -> None:
        self.received = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while chunk := await reader.read(100):
            self.received += chunk
            writer.write(chunk)
        writer.close()


class Caller:
    """A connection through the relay."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, relay: Relay) -> Caller:
        """Open a connection."""
        return cls(*await asyncio.open_connection(relay.address, relay.port))

    async def ask(self, content: bytes, timeout_s: float = PATIENCE_S) -> bytes:
        """Send ``content`` and return the first chunk that comes back."""
        self._writer.write(content)
        return await asyncio.wait_for(self._reader.read(100), timeout_s)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


@asynccontextmanager
async def _relayed() -> AsyncIterator[tuple[Relay, Echo]]:
    echo = Echo()
    server = await asyncio.start_server(echo.serve, ADDRESS, 0)
    relay = Relay(ADDRESS, server.sockets[0].getsockname()[1])
    await relay.start()
    try:
        yield relay, echo
    finally:
        await relay.stop()
        server.close()


async def test_cut_resets_open_connections_and_spares_new_ones() -> None:
    async with _relayed() as (relay, _):
        caller = await Caller.connect(relay)
        assert await caller.ask(b"1") == b"1"
        relay.cut()
        with pytest.raises(ConnectionResetError):
            await caller.ask(b"2")
        assert await (await Caller.connect(relay)).ask(b"3") == b"3"


@pytest.mark.parametrize(
    ("stall", "arrived", "still_open"),
    [(Relay.stall, b"13", 2), (Relay.stall_answers, b"123", 1)],
)
async def test_stall_silences_open_connections_and_spares_new_ones(
    stall: Callable[[Relay], None], arrived: bytes, still_open: int
) -> None:
    async with _relayed() as (relay, echo):
        caller = await Caller.connect(relay)
        assert await caller.ask(b"1") == b"1"
        stall(relay)
        with pytest.raises(TimeoutError):
            await caller.ask(b"2", GIVE_UP_S)
        newer = await Caller.connect(relay)
        assert await newer.ask(b"3") == b"3"
        caller.close()
        await asyncio.sleep(GIVE_UP_S)
        assert relay.open_connections == still_open
        assert echo.received == arrived


async def test_refuse_turns_new_connections_away_and_spares_open_ones() -> None:
    async with _relayed() as (relay, _):
        caller = await Caller.connect(relay)
        assert await caller.ask(b"1") == b"1"
        await relay.refuse()
        with pytest.raises(ConnectionRefusedError):
            await Caller.connect(relay)
        assert await caller.ask(b"2") == b"2"
        await relay.start()
        assert await (await Caller.connect(relay)).ask(b"3") == b"3"


@pytest.mark.parametrize(
    ("fault", "first", "second"),
    [(AnswerFault.REPEAT, b"answer", b"answer"), (AnswerFault.HALVE, b"ans", b"")],
)
async def test_answers_come_twice_or_half(fault: AnswerFault, first: bytes, second: bytes) -> None:
    async with _relayed() as (relay, _):
        relay.answer_fault = fault
        caller = await Caller.connect(relay)
        assert await caller.ask(b"answer") == first
        assert await caller.ask(b"") == second
