"""A caller's connection to a host, which shows what really comes over it."""

from __future__ import annotations

import asyncio
from typing import Self

import msgspec


class RawAnswer(msgspec.Struct, frozen=True):
    """An answer; the names of ``headers`` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Return whether the host announced that it closes the connection."""
        return self.headers.get("connection", "").lower() == "close"


class CallerConnection:
    """One connection, used for one request after the other."""

    __slots__ = ("_reader", "_writer", "host", "used")

    def __init__(
        self, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.host = host
        self.used = False
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host: str, address: str, port: int) -> Self:
        """Connect.

        :raises OSError: if the host can't be reached.
        """
        reader, writer = await asyncio.open_connection(address, port)
        return cls(host, reader, writer)

    @property
    def is_open(self) -> bool:
        """Return whether the host has not closed the connection, as far as is known."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    async def exchange(self, request: bytes) -> RawAnswer:
        """Send a request and return the answer.

        :raises OSError: if the connection breaks.
        :raises asyncio.IncompleteReadError: if it ends before the answer does.
        """
        self._writer.write(request)
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        self.used = True
        status_line, *lines = head.strip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        return RawAnswer(int(status_line.split()[1]), headers, body)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
