"""Reads a ZeroMQ socket from the event loop, many messages at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import zmq

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingoladder.timeline.recorder import Recorder

# More messages wait for the next turn, so that others have theirs.
MAX_MESSAGES_PER_TURN = 64
READABLE = int(zmq.POLLIN)


class SocketReader:
    """Calls ``on_message`` for each message that arrives at a socket, until closed.

    ``zmq.asyncio`` takes a future, a task step and two turns of the loop for each message.

    A ZeroMQ descriptor becomes readable when the socket's state changes, not while messages wait:
    all of them are read at once, and ``check`` must be called after each send over the socket, as
    that may have noticed the change.
    """

    __slots__ = ("_descriptor", "_is_closed", "_loop", "_on_message", "_recorder", "_socket")

    def __init__(
        self,
        socket: zmq.Socket[bytes],
        on_message: Callable[[list[zmq.Frame]], None],
        recorder: Recorder,
    ) -> None:
        self._socket = socket
        self._on_message = on_message
        self._recorder = recorder
        self._loop = asyncio.get_running_loop()
        self._descriptor = int(socket.FD)
        self._is_closed = False
        self._loop.add_reader(self._descriptor, self._read)
        self.check()

    def check(self) -> None:
        """Read soon if there are messages."""
        if not self._is_closed and self._has_message():
            self._loop.call_soon(self._read)

    def close(self) -> None:
        """Stop reading; called before the socket is closed, as its descriptor is used again."""
        if not self._is_closed:
            self._is_closed = True
            self._loop.remove_reader(self._descriptor)

    def _has_message(self) -> bool:
        return bool(int(self._socket.getsockopt(zmq.EVENTS)) & READABLE)

    def _read(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self._is_closed or not self._has_message():
                return
            frames = self._socket.recv_multipart(zmq.NOBLOCK, copy=False)
            try:
                self._on_message(frames)
            except Exception as error:
                described = f"{type(error).__name__}: {error}"
                self._recorder.record("task.failed", task="links", error=described)
        self._loop.call_soon(self._read)
