"""Tests of servers whose bytes are no answer, and come until the caller closes."""

from __future__ import annotations

import asyncio
import gc
from contextlib import suppress
from types import SimpleNamespace
from typing import TYPE_CHECKING
from weakref import ref

import pytest
from multidict import CIMultiDict

from flamingoladder.memory.budget import MIB
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.standins.flooding import BODY_FLOODS
from flamingoladder.standins.flooding import CHUNKED_HEAD
from flamingoladder.standins.flooding import HEAD
from flamingoladder.standins.flooding import OTHER_FLOODS
from flamingoladder.standins.flooding import Flood
from flamingoladder.standins.flooding import FloodingServer
from flamingoladder.transport.answer_progress import MAX_OTHER_BYTES
from flamingoladder.transport.answer_progress import AnswerProgress
from flamingoladder.transport.bodies import MAX_ANSWER_BYTES
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import Pool
from flamingoladder.transport.receive_guard import FIRST_PART_BYTES
from flamingoladder.transport.receive_guard import ReceiveGuard
from flamingoladder.transport.sending import FailureKind
from flamingoladder.transport.sending import Outgoing
from flamingoladder.transport.sending import SendFailure
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yarl import URL

DEADLINE_S = 5.0
# What the operating system and the event loop hold of a connection besides.
BUFFERED_BYTES = 8 * MIB
WHOLE = HEAD + b"Content-Length: 5\r\n\r\nhello"


class FixedServer(FloodingServer):
    """Answers each request with the same parts, and keeps the connection."""

    def __init__(self, parts: Iterable[bytes]) -> None:
        super().__init__(Flood(b"", b"x"))
        self._parts = list(parts)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.writelines(self._parts)
                await writer.drain()
        writer.close()


def pool(memory: MemoryBudget | None = None) -> Pool:
    return Pool(4, keep=True, memory=memory or MemoryBudget())


async def get(connections: Pool, url: URL) -> Answer | SendFailure:
    exchange = Exchange(asyncio.get_running_loop().time() + DEADLINE_S)
    return await connections.send(Outgoing("GET", url, CIMultiDict(), b"", ""), exchange)


@pytest.mark.parametrize("flood", OTHER_FLOODS)
async def test_bytes_that_are_no_content_end_the_request_soon(flood: Flood) -> None:
    """Some were read at full speed until the deadline."""
    server, connections = FloodingServer(flood), pool()
    async with server.serving() as url:
        started = asyncio.get_running_loop().time()
        result = await get(connections, url)
        assert asyncio.get_running_loop().time() - started < DEADLINE_S / 2
        await asyncio.wait_for(server.closed.wait(), DEADLINE_S)
        await connections.retire()
    assert isinstance(result, SendFailure)
    assert result.kind in {FailureKind.NO_ANSWER, FailureKind.LOST}
    assert result.may_have_run
    assert server.sent_bytes <= MAX_OTHER_BYTES + BUFFERED_BYTES


@pytest.mark.parametrize("flood", BODY_FLOODS, ids=["chunks", "length"])
async def test_body_without_end_ends_the_request(flood: Flood) -> None:
    server, connections = FloodingServer(flood), pool()
    async with server.serving() as url:
        result = await get(connections, url)
        await asyncio.wait_for(server.closed.wait(), DEADLINE_S)
        await connections.retire()
    assert isinstance(result, SendFailure)
    assert result.kind is FailureKind.TOO_LARGE
    assert server.sent_bytes <= MAX_ANSWER_BYTES + BUFFERED_BYTES


async def test_bytes_after_a_whole_answer_close_the_kept_connection() -> None:
    server, connections = FloodingServer(Flood(WHOLE, b"more")), pool()
    async with server.serving() as url:
        await get(connections, url)
        await asyncio.wait_for(server.closed.wait(), DEADLINE_S)
        await connections.retire()
    assert server.sent_bytes <= MAX_OTHER_BYTES + BUFFERED_BYTES


@pytest.mark.parametrize("size", [0, 1, 65_536, MIB, MAX_ANSWER_BYTES])
async def test_large_answers_are_whole_and_keep_their_connection(size: int) -> None:
    body = bytes(size)
    server = FixedServer([HEAD, f"Content-Length: {size}\r\n\r\n".encode(), body])
    connections = pool()
    async with server.serving() as url:
        for _ in range(2):
            result = await get(connections, url)
            assert isinstance(result, Answer)
            assert result.body == body
        await connections.retire()


async def test_answers_in_small_chunks_are_whole() -> None:
    server, connections = FixedServer([CHUNKED_HEAD, b"1\r\nx\r\n" * 20_000, b"0\r\n\r\n"]), pool()
    async with server.serving() as url:
        result = await get(connections, url)
        await connections.retire()
    assert isinstance(result, Answer)
    assert result.body == b"x" * 20_000


async def test_all_answers_together_stay_within_the_bound_and_small_ones_are_served() -> None:
    memory = MemoryBudget(2 * MIB)
    connections = pool(memory)
    large = FixedServer([HEAD, f"Content-Length: {MIB}\r\n\r\n".encode(), bytes(MIB)])
    small = FixedServer([WHOLE])
    async with large.serving() as large_url, small.serving() as small_url:
        first = await get(connections, large_url)
        second = await get(connections, large_url)
        third = await get(connections, small_url)
        assert isinstance(first, Answer)
        assert isinstance(second, SendFailure)
        assert second.kind is FailureKind.TOO_LARGE
        assert isinstance(third, Answer)
        assert 2 * MIB > memory.held_bytes >= MIB
        del first
        assert isinstance(await get(connections, large_url), Answer)
        await connections.retire()
    assert memory.held_bytes == 0


class CountingParser(asyncio.Protocol):
    """Counts what it is given; a ``content_fraction`` of it is content."""

    def __init__(self, answer: AnswerProgress, content_fraction: float) -> None:
        self.parts: list[int] = []
        self._content_fraction = content_fraction
        self._content = SimpleNamespace(total_bytes=0)
        answer.response = SimpleNamespace(content=self._content)  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.parts.append(len(data))
        self._content.total_bytes += int(len(data) * self._content_fraction)


class FakeTransport(asyncio.Transport):
    """Notes whether it was aborted or closed."""

    aborted = False
    closed = False

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.aborted = True


@pytest.mark.parametrize(
    ("content_fraction", "first_turn_bytes", "aborted"),
    [(1.0, 250_000, False), (0.9, 250_000, False), (0.2, FIRST_PART_BYTES, True)],
)
async def test_what_is_no_content_is_parsed_in_small_parts(
    content_fraction: float, first_turn_bytes: int, aborted: bool
) -> None:
    """A turn of the event loop took up to 0.9 s with 50 flooding targets."""
    answer, transport = AnswerProgress(), FakeTransport()
    parser = CountingParser(answer, content_fraction)
    guard = ReceiveGuard(parser, transport)
    guard.use_for(answer)
    guard.data_received(bytes(250_000))
    assert sum(parser.parts) == first_turn_bytes
    for _ in range(100):
        turn = len(parser.parts)
        await asyncio.sleep(0)
        assert len(parser.parts) <= turn + 1
    assert (transport.aborted, answer.flooded) == (aborted, aborted)
    assert guard.has_unparsed is False


@pytest.mark.parametrize("pieces", [[4_400] * 6, [5_000], [60_000], [4_097] * 20])
@pytest.mark.parametrize("size", [180_000, 250_000, 262_144])
async def test_a_large_part_of_an_answer_is_no_flood(pieces: list[int], size: int) -> None:
    """Half of the answers without a length were cut, as a part of 256 KiB came after small ones."""
    answer, transport = AnswerProgress(), FakeTransport()
    parser = CountingParser(answer, 1.0)
    guard = ReceiveGuard(parser, transport)
    guard.use_for(answer)
    for piece in [*pieces, size, size]:
        guard.data_received(bytes(piece))
        await asyncio.sleep(0)
    assert not transport.aborted
    assert sum(parser.parts) == sum(pieces) + 2 * size


async def test_an_answer_of_one_read_is_whole_if_its_end_comes_before_its_head_is_known() -> None:
    answer, transport = AnswerProgress(), FakeTransport()
    parser = CountingParser(answer, 1.0)
    known, answer.response = answer.response, None
    guard = ReceiveGuard(parser, transport)
    guard.use_for(answer)
    guard.data_received(bytes(250_000))
    assert guard.eof_received() is True
    await asyncio.sleep(0)
    answer.response = known
    for _ in range(3):
        await asyncio.sleep(0)
    assert sum(parser.parts) == 250_000
    assert (transport.aborted, transport.closed, guard.ended) == (False, True, True)


async def test_what_is_left_when_the_connection_ends_is_parsed_before_the_end() -> None:
    answer, transport = AnswerProgress(), FakeTransport()
    parser = CountingParser(answer, 0.2)
    guard = ReceiveGuard(parser, transport)
    guard.use_for(answer)
    guard.data_received(bytes(50_000))
    guard.eof_received()
    assert sum(parser.parts) == 50_000


class Request:
    """Stands for a request with a large body."""

    def check(self, _now: float) -> None:
        """Refuse nothing."""


async def test_a_kept_connection_does_not_hold_the_request_that_it_was_opened_for() -> None:
    """Its callbacks held the exchange, whose last check held the request and so its body."""
    server, connections = FixedServer([WHOLE]), pool()
    async with server.serving() as url:
        request = Request()
        held = ref(request)
        deadline = asyncio.get_running_loop().time() + DEADLINE_S
        exchange = Exchange(deadline, request.check)
        outgoing = Outgoing("GET", url, CIMultiDict(), b"", "")
        assert isinstance(await connections.send(outgoing, exchange), Answer)
        del request
        gc.collect()
        assert held() is None
        await connections.retire()
