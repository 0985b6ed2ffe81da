"""Tests of reading ZeroMQ sockets from the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import zmq
import zmq.asyncio

from flamingoladder.peers.connection import open_socket
from flamingoladder.peers.socket_reader import MAX_MESSAGES_PER_TURN
from flamingoladder.peers.socket_reader import SocketReader
from flamingoladder.timeline.recorder import Recorder
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

SENDS = 20
MESSAGES = 3 * MAX_MESSAGES_PER_TURN


class Pair:
    """Two connected sockets; ``received`` holds what the reader of the second one got."""

    def __init__(self) -> None:
        self.context = zmq.asyncio.Context()
        self.first, self.second = (open_socket(self.context, zmq.PAIR) for _ in range(2))
        self.first.bind("inproc://pair")
        self.second.connect("inproc://pair")
        self.received: list[bytes] = []
        self.recorder = Recorder("h", "1")

    def reader(self) -> SocketReader:
        return SocketReader(self.second, self._receive, self.recorder)

    def _receive(self, frames: list[zmq.Frame]) -> None:
        self.received.append(frames[-1].bytes)
        if frames[-1].bytes == b"bad":
            raise ValueError("bad message")


@pytest.fixture
def pair() -> Iterator[Pair]:
    pair = Pair()
    yield pair
    pair.context.destroy(linger=0)


async def test_all_messages_of_a_burst_are_read(pair: Pair) -> None:
    """The descriptor tells of the first one only."""
    sent = [str(number).encode() for number in range(MESSAGES)]
    reader = pair.reader()
    for message in sent:
        pair.first.send(message)
    await eventually(lambda: pair.received == sent)
    reader.close()


async def test_messages_that_came_before_the_reader_are_read(pair: Pair) -> None:
    pair.first.send(b"early")
    reader = pair.reader()
    await eventually(lambda: pair.received == [b"early"])
    reader.close()


async def test_a_message_that_a_send_noticed_is_read(pair: Pair) -> None:
    """A send takes the change of state that would have made the descriptor readable."""
    reader = pair.reader()
    await asyncio.sleep(0.01)
    sent: list[bytes] = []
    for number in range(SENDS):
        sent.append(str(number).encode())
        pair.first.send(sent[-1])
        pair.second.send(b"x", zmq.NOBLOCK)
        reader.check()
        await eventually(lambda: pair.received == sent)
    reader.close()


async def test_a_message_that_fails_holds_up_no_other(pair: Pair) -> None:
    reader = pair.reader()
    for message in (b"bad", b"good"):
        pair.first.send(message)
    await eventually(lambda: pair.received == [b"bad", b"good"])
    [failure] = [event for event in pair.recorder.since(0) if event.kind == "task.failed"]
    assert "bad message" in failure.fields["error"]
    reader.close()


async def test_a_closed_reader_reads_nothing(pair: Pair) -> None:
    reader = pair.reader()
    pair.first.send(b"late")
    reader.close()
    reader.close()
    await asyncio.sleep(0.05)
    assert pair.received == []
