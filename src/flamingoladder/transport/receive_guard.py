"""Guard of a connection against bytes that are no answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.transport.answer_progress import AnswerProgress

# What is parsed at once while nothing tells that it is content. 1xx responses and chunks of one
# byte take the longest.
FIRST_PART_BYTES = 4_096
MAX_PART_BYTES = 262_144
# The event loop reads up to 256 KiB at once, and up to three times before the head is known.
MAX_UNPARSED_BYTES = 1_048_576


class ReceiveGuard(asyncio.Protocol):
    """Stands between a connection and the protocol that parses its answers.

    It closes the connection when bytes come while no request waits for an answer, or when too many
    come that are no content, as in a head or in chunk extensions without end. What may be no
    content is parsed in small parts, one in each turn of the event loop, so that other requests are
    served meanwhile.

    ``ended`` is set once the other end has closed the connection in order. It isn't by anything
    that this host does to the connection.
    """

    __slots__ = (
        "_is_scheduled",
        "_parser",
        "_part_bytes",
        "_transport",
        "_unparsed",
        "answer",
        "ended",
    )

    def __init__(self, parser: asyncio.Protocol, transport: asyncio.Transport) -> None:
        self._parser = parser
        self._transport = transport
        self._unparsed = bytearray()
        self._part_bytes = FIRST_PART_BYTES
        self._is_scheduled = False
        self.answer: AnswerProgress | None = None
        self.ended = False

    @classmethod
    def of(cls, transport: asyncio.Transport) -> ReceiveGuard:
        """Return the connection's guard; its first call puts it in place."""
        protocol = transport.get_protocol()
        if isinstance(protocol, cls):
            return protocol
        assert isinstance(protocol, asyncio.Protocol)
        guard = cls(protocol, transport)
        transport.set_protocol(guard)
        return guard

    @property
    def has_unparsed(self) -> bool:
        """Return whether bytes came that were not parsed, so that the connection is of no use."""
        return bool(self._unparsed)

    def use_for(self, answer: AnswerProgress) -> None:
        """Expect this answer from now on."""
        self.answer = answer
        self._part_bytes = FIRST_PART_BYTES

    def data_received(self, data: bytes) -> None:
        """Pass on what was received, unless it is too much."""
        if self.answer is None or len(self._unparsed) + len(data) > MAX_UNPARSED_BYTES:
            self._refuse()
            return
        most_bytes = min(FIRST_PART_BYTES, self.answer.acceptable_bytes)
        if not self._unparsed and len(data) <= most_bytes:
            self._parse(data)
            return
        self._unparsed += data
        if not self._is_scheduled:
            self._parse_parts()

    def eof_received(self) -> bool | None:
        """Pass on the end of what is received, once all before it is parsed."""
        self.ended = True
        if self._unparsed and self.answer is not None and self.answer.response is None:
            # What comes after the head can't be told from a head without end before that is known.
            return True
        self._parse_rest()
        return self._parser.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection."""
        self._parse_rest()
        self._parser.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the connection takes no more for now."""
        self._parser.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the connection takes more again."""
        self._parser.resume_writing()

    def _parse_parts(self) -> None:
        """Parse while that brings content, and else go on in the loop's next turn."""
        self._is_scheduled = False
        while self._unparsed:
            if self._parse_part():
                self._part_bytes = min(MAX_PART_BYTES, 2 * self._part_bytes)
                continue
            self._part_bytes = FIRST_PART_BYTES
            if self._unparsed:
                self._is_scheduled = True
                asyncio.get_running_loop().call_soon(self._parse_parts)
                return
        if self.ended:
            self._parser.eof_received()
            self._transport.close()

    def _parse_rest(self) -> None:
        while self._unparsed:
            self._parse_part()

    def _parse_part(self) -> bool:
        """Parse one part and return whether most of it was content."""
        acceptable_bytes = 0 if self.answer is None else self.answer.acceptable_bytes
        part_bytes = min(self._part_bytes, acceptable_bytes)
        if part_bytes <= 0:
            self._refuse()
            return False
        part = bytes(self._unparsed[:part_bytes])
        del self._unparsed[:part_bytes]
        return self._parse(part)

    def _parse(self, part: bytes) -> bool:
        answer = self.answer
        if answer is None:
            self._refuse()
            return False
        content_before = answer.content_bytes
        answer.count(len(part))
        self._parser.data_received(part)
        return 2 * (answer.content_bytes - content_before) >= len(part)

    def _refuse(self) -> None:
        if self.answer is not None:
            self.answer.flooded = True
        self._unparsed.clear()
        self._transport.abort()
