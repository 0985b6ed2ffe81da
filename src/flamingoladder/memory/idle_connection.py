"""What is known of a caller's connection that may be closed while it is idle."""

from __future__ import annotations

from abc import abstractmethod
from asyncio import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import Transport


class IdleConnection(Protocol):
    """A connection of the address ``client``.

    ``idle_since`` is the time of the last request's end, or of the first byte of an unfinished
    head, which ``has_head`` tells apart; ``head_bytes`` came of that.
    """

    __slots__ = ("client", "has_head", "head_bytes", "idle_since", "transport")

    def __init__(self) -> None:
        self.client = ""
        self.has_head = False
        self.head_bytes = 0
        self.idle_since = 0.0
        self.transport: Transport | None = None

    @abstractmethod
    def forget_unread(self) -> None:
        """Count the unread bytes no more."""
