"""Tests of what the transport says of calls that fail, over real sockets."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from http import HTTPMethod
from typing import TYPE_CHECKING

import pytest

from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.services import StoreTable
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.relay import Relay
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.exceptions import PlatformRefusedError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.table import Write
from tests.platform.access import ADDRESS
from tests.platform.access import connected
from tests.platform.access import served

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_S = 5.0
# The call that holds the connection must outlast the other's timeout, whatever stops the process.
HOLDING_TIMEOUT_S = 2.0
SHORT_TIMEOUT_S = 0.1
STRAY_S = 0.02
IN_FORCE_S = 2.5
CALL = HttpCall(HTTPMethod.POST, "/-/rows-tx", body=b"{}")
WRITES = [Write("a", b"1")]


@asynccontextmanager
async def _answering(answer: bytes, stray: bytes = b"") -> AsyncIterator[str]:
    """Serve raw bytes to every request, then close the connection or send it a stray answer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        if not stray:
            writer.close()
            return
        await asyncio.sleep(STRAY_S)
        writer.write(stray)

    server = await asyncio.start_server(serve, ADDRESS, 0)
    yield f"http://{ADDRESS}:{server.sockets[0].getsockname()[1]}"
    server.close()


def _response(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (b"", OutcomeUnknownError),
        (b"not http\r\n\r\n", OutcomeUnknownError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", OutcomeUnknownError),
        (_response(200, b"{}"), OutcomeUnknownError),
        (_response(200, b"not json"), OutcomeUnknownError),
        (_response(503), OutcomeUnknownError),
        (_response(500), OutcomeUnknownError),
        (_response(408), OutcomeUnknownError),
        (_response(499), OutcomeUnknownError),
        (_response(101), OutcomeUnknownError),
        (b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", OutcomeUnknownError),
        (_response(600), OutcomeUnknownError),
        (_response(400), PlatformRefusedError),
        (_response(401), PlatformRefusedError),
        (_response(429), PlatformRefusedError),
        (_response(307), PlatformRefusedError),
    ],
)
async def test_a_write_has_no_effect_only_if_the_service_says_so(
    answer: bytes, expected: type[PlatformError]
) -> None:
    async with _answering(answer) as url, connected(url) as transport:
        table = StoreTable(RowStore(transport))
        with pytest.raises(expected):
            await table.transact((), WRITES, TIMEOUT_S)
        with pytest.raises(PlatformUnavailableError):
            await table.read("", TIMEOUT_S)


async def test_a_write_that_got_no_connection_was_not_sent() -> None:
    async with _answering(b"") as url:
        pass
    async with connected(url) as transport:
        with pytest.raises(PlatformUnavailableError):
            await transport.write(CALL, TIMEOUT_S)


async def test_a_write_that_waited_in_vain_for_a_connection_was_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("flamingoladder.platform.http_transport.CONNECTION_LIMIT", 1)
    state = PlatformState()
    state.faults = FaultSettings(down=True)
    async with served(state) as server, connected(server.url) as transport:
        first = asyncio.create_task(transport.write(CALL, HOLDING_TIMEOUT_S))
        await asyncio.sleep(0)
        with pytest.raises(PlatformUnavailableError):
            await transport.write(CALL, SHORT_TIMEOUT_S)
        with pytest.raises(OutcomeUnknownError):
            await first


async def test_a_refusal_while_overloaded_leaves_a_write_in_doubt_and_a_read_unanswered() -> None:
    state = PlatformState()
    state.faults = FaultSettings(refuse=True)
    async with served(state) as server, connected(server.url) as transport:
        with pytest.raises(OutcomeUnknownError):
            await StoreTable(RowStore(transport)).transact((), WRITES, TIMEOUT_S)
        with pytest.raises(PlatformUnavailableError):
            await StoreTable(RowStore(transport)).read("", TIMEOUT_S)


async def test_a_wrong_token_is_refused() -> None:
    state = PlatformState()
    async with served(state) as server, connected(server.url, "wrong") as transport:
        with pytest.raises(PlatformRefusedError):
            await StoreTable(RowStore(transport)).transact((), WRITES, TIMEOUT_S)
    assert state.revision == 0


async def test_no_redirect_is_followed() -> None:
    async with served(PlatformState()) as server:
        relay = Relay(server.address, server.port)
        await relay.start()
        head = f"HTTP/1.1 307 X\r\nContent-Length: 0\r\nLocation: {relay.url}/\r\n\r\n"
        async with _answering(head.encode()) as url, connected(url) as transport:
            with pytest.raises(PlatformRefusedError):
                await StoreTable(RowStore(transport)).transact((), WRITES, TIMEOUT_S)
            assert relay.open_connections == 0
        await relay.stop()


async def test_one_timeout_finds_all_connections_that_have_gone_silent() -> None:
    async with served(PlatformState()) as server:
        relay = Relay(server.address, server.port)
        await relay.start()
        async with connected(relay.url) as transport:
            table = StoreTable(RowStore(transport))
            await asyncio.gather(*(table.read("", TIMEOUT_S) for _ in range(3)))
            assert relay.open_connections == 3
            relay.stall()
            with pytest.raises(PlatformUnavailableError):
                await table.read("", SHORT_TIMEOUT_S)
            for _ in range(3):
                await table.read("", TIMEOUT_S)
        await relay.stop()


async def test_a_call_in_progress_survives_the_timeout_of_another() -> None:
    state = PlatformState()
    state.faults = FaultSettings(delay_s=0.1)
    async with served(state) as server, connected(server.url) as transport:
        table = StoreTable(RowStore(transport))
        patient = asyncio.create_task(table.transact((), WRITES, TIMEOUT_S))
        with pytest.raises(PlatformUnavailableError):
            await table.read("", 0.05)
        assert (await patient).committed


async def test_an_answer_that_comes_after_its_timeout_reaches_no_other_call() -> None:
    state = PlatformState()
    async with served(state) as server, connected(server.url) as transport:
        table = StoreTable(RowStore(transport))
        await table.transact((), [Write("a", b"1"), Write("b", b"2")], TIMEOUT_S)
        state.faults = FaultSettings(delay_s=0.05)
        with pytest.raises(PlatformUnavailableError):
            await table.get("a", 0.06)
        state.faults = FaultSettings()
        found = [await table.get("b", TIMEOUT_S) for _ in range(3)]
        assert {row.key for row in found if row} == {"b"}


async def test_an_answer_that_nobody_asked_for_reaches_no_call() -> None:
    answer = _response(200, b'{"ver":1}')
    stray = _response(200, b'{"ver":9}')
    async with _answering(answer, stray) as url, connected(url) as transport:
        table = StoreTable(RowStore(transport))
        for _ in range(3):
            assert (await table.read("", TIMEOUT_S)).revision == 1
            await asyncio.sleep(10 * STRAY_S)


async def test_a_connect_that_nobody_answers_is_given_up_long_before_the_call() -> None:
    """A link that heals must not wait for the kernel's next try, which comes ever later."""
    with socket.socket() as deaf:
        deaf.bind((ADDRESS, 0))
        deaf.listen(0)
        address = deaf.getsockname()
        waiting = [socket.socket() for _ in range(3)]
        for other in waiting:
            other.setblocking(False)
            other.connect_ex(address)
        async with connected(f"http://{ADDRESS}:{address[1]}") as transport:
            table = StoreTable(RowStore(transport))
            async with asyncio.timeout(IN_FORCE_S):
                with pytest.raises(PlatformUnavailableError):
                    await table.read("", 10 * TIMEOUT_S)
        for other in waiting:
            other.close()
