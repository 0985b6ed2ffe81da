"""A target with scripted behavior for each connection and request."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CONTENT_LENGTH = b"content-length:"
REQUEST_ID = "x-request-id:"


class Behavior(Enum):
    """The behavior of a target for one request."""

    ANSWER = "answers with its name"
    ANSWER_AND_CLOSE = "answers, and closes the connection a moment later without notice"
    ANSWER_TWICE = "answers, then while the connection is idle a second time without an id"
    ANSWER_AGAIN_LATE = "answers, then a moment later a second time with the id"
    CLOSE = "reads the whole request and closes"
    COPY_LATE = "answers, then a second time once the connection's next request has come"
    CROSSED = "answers with another request's id"
    HUGE = "sends more than fits into memory, in chunks without end"
    HALF = "sends half of an answer and closes"
    NO_STATUS = "answers with status 000"
    NO_LENGTH = "sends an answer that ends where the connection ends"
    SHED = "sheds"
    SILENT = "reads the request and is silent"
    SLOW = "answers after 150 ms"
    SLOWER = "answers after 300 ms"
    SLOW_CLOSE = "closes after 150 ms"
    STALL = "sends half of an answer and is silent"
    SWITCHES = "answers with status 101"
    UNMARKED_503 = "answers 503 of its own accord"


class ScriptedTarget:
    """A target that applies ``behaviors`` in order, then ``ANSWER``; it always answers probes.

    Its answers bring back the request's id if it ``echoes``, and the fields that it ``says``.
    """

    __slots__ = (
        "_server",
        "_silent",
        "_writers",
        "accepts_and_closes",
        "behaviors",
        "closed_by_peer",
        "connections",
        "echoes",
        "name",
        "reached",
        "received",
        "repeated",
        "says",
    )

    def __init__(self, name: str, *behaviors: Behavior, echoes: bool = True) -> None:
        self.name = name
        self.echoes = echoes
        self.says = ""
        self.behaviors = list(behaviors)
        self.accepts_and_closes = False
        self.connections = 0
        self.received: list[str] = []
        self.reached = asyncio.Event()
        self.repeated = asyncio.Event()
        self.closed_by_peer = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the target's ``ip:port``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def silence(self) -> None:
        """Stop answering on all connections that are open now."""
        self._silent.update(self._writers)

    async def stop(self) -> None:
        """Close the port and all connections."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while not self.accepts_and_closes and await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        if writer in self._silent:
            return await self._hang(reader)
        await reader.readexactly(_content_length(head))
        if head.startswith((b"GET /health", b"GET /load")):
            writer.write(_answer("{}"))
            return True
        self.received.append(head.decode("latin-1"))
        behavior = self.behaviors.pop(0) if self.behaviors else Behavior.ANSWER
        self.reached.set()
        echo = (_echo(head) if self.echoes else "") + self.says
        return await self._perform(behavior, reader, writer, echo)

    async def _hang(self, reader: asyncio.StreamReader) -> bool:
        await reader.read()
        self.closed_by_peer.set()
        return False

    async def _perform(
        self,
        behavior: Behavior,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        echo: str,
    ) -> bool:
        match behavior:
            case Behavior.CLOSE:
                return False
            case Behavior.SILENT:
                return await self._hang(reader)
            case Behavior.STALL:
                writer.write(_answer(self.name * 2, extra=echo)[: -len(self.name)])
                return await self._hang(reader)
            case Behavior.SLOW_CLOSE:
                await asyncio.sleep(0.15)
                return False
            case Behavior.SLOW | Behavior.SLOWER:
                await asyncio.sleep(0.15 if behavior is Behavior.SLOW else 0.3)
                writer.write(_answer(self.name, extra=echo))
            case Behavior.HALF:
                writer.write(_answer(self.name * 2, extra=echo)[: -len(self.name)])
                return False
            case Behavior.HUGE:
                return await _send_without_end(writer)
            case Behavior.NO_LENGTH:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
                return False
            case Behavior.SHED:
                writer.write(_answer("shed", "503 Busy", f"{echo}Flamingoladder-Shed: 1\r\n"))
            case Behavior.UNMARKED_503:
                writer.write(_answer("own", "503 Busy", echo))
            case Behavior.NO_STATUS:
                writer.write(_answer("none", "000 None", echo))
            case Behavior.SWITCHES:
                writer.write(_answer("other", "101 Switching Protocols", echo))
            case Behavior.CROSSED:
                writer.write(_answer("other", extra="X-Request-Id: other\r\n"))
            case Behavior.COPY_LATE:
                writer.write(_answer(self.name, extra=echo))
                await reader.readuntil(b"\r\n\r\n")
                writer.write(_answer("late", extra=echo))
            case Behavior.ANSWER_TWICE:
                writer.write(_answer(self.name, extra=echo))
                await asyncio.sleep(0.005)
                writer.write(_answer("late"))
                self.repeated.set()
            case Behavior.ANSWER_AGAIN_LATE:
                writer.write(_answer(self.name, extra=echo))
                await asyncio.sleep(0.01)
                writer.write(_answer("late", extra="X-Request-Id: 0\r\n"))
            case Behavior.ANSWER_AND_CLOSE:
                writer.write(_answer(self.name, extra=echo))
                return False
            case Behavior.ANSWER:
                writer.write(_answer(self.name, extra=echo))
        return True


@asynccontextmanager
async def running_targets(*targets: ScriptedTarget) -> AsyncIterator[None]:
    """Start the targets, and stop them at the end."""
    for target in targets:
        await target.start()
    try:
        yield
    finally:
        for target in targets:
            await target.stop()


async def _send_without_end(writer: asyncio.StreamWriter) -> bool:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while not writer.is_closing():
        writer.write(b"100000\r\n" + bytes(0x100000) + b"\r\n")
        await writer.drain()
    return False


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(CONTENT_LENGTH):
            return int(line[len(CONTENT_LENGTH) :])
    return 0


def _echo(head: bytes) -> str:
    for line in head.decode("latin-1").split("\r\n"):
        if line.lower().startswith(REQUEST_ID):
            return f"{line}\r\n"
    return ""


def _answer(body: str, status: str = "200 OK", extra: str = "") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {len(body)}"
    return f"{head}\r\n{extra}\r\n{body}".encode()
