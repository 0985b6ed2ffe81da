"""How much of the answer to a request has come."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import ClientResponse

# A head with its fields, and chunk headers beyond the size of the content.
MAX_OTHER_BYTES = 131_072


class AnswerProgress:
    """Counts what came of an answer; ``response`` is None before its head.

    ``flooded`` is set once more came than ``acceptable_bytes``: ``MAX_OTHER_BYTES`` that are no
    content, beside as many as the content has.
    """

    __slots__ = ("_received_bytes", "flooded", "response")

    def __init__(self) -> None:
        self._received_bytes = 0
        self.flooded = False
        self.response: ClientResponse | None = None

    @property
    def content_bytes(self) -> int:
        """Return how many bytes of the answer's body came, without chunk headers."""
        return 0 if self.response is None else self.response.content.total_bytes

    @property
    def steps(self) -> int:
        """Return a number that grows with each part of the answer; it is 0 before the head."""
        return 0 if self.response is None else 1 + self.content_bytes

    @property
    def acceptable_bytes(self) -> int:
        """Return how many more bytes may come before any of them proves to be content."""
        return MAX_OTHER_BYTES + 2 * self.content_bytes - self._received_bytes

    def count(self, more_bytes: int) -> None:
        """Count bytes that came."""
        self._received_bytes += more_bytes
