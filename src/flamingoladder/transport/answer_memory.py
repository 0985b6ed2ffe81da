"""Bound on the memory that the answers of all connections take together."""

from __future__ import annotations

from typing import TYPE_CHECKING
from weakref import finalize

if TYPE_CHECKING:
    from flamingoladder.verdict import Answer

MIB = 1_024 * 1_024
DEFAULT_LIMIT_BYTES = 64 * MIB
# Bodies up to this size are always taken, as many requests are at work that bring only these.
SMALL_BODY_BYTES = 65_536
# The rest of a host's memory is the program itself, callers' bodies and its tables.
MEMORY_FRACTION = 0.2


class AnswerMemory:
    """The bytes of large bodies that are in memory, at most ``limit_bytes``."""

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @classmethod
    def from_config(cls, host_memory_mb: float) -> AnswerMemory:
        """Return the bound for a host with this memory in megabytes; 0 if it is not known."""
        if not host_memory_mb:
            return cls()
        return cls(int(host_memory_mb * MIB * MEMORY_FRACTION))

    def take(self, body_bytes: int, more_bytes: int) -> bool:
        """Return whether a body of ``body_bytes`` may grow, and count what it grows by."""
        is_small = body_bytes + more_bytes <= SMALL_BODY_BYTES
        if not is_small and self.held_bytes + more_bytes > self.limit_bytes:
            return False
        self.held_bytes += more_bytes
        return True

    def hold(self, answer: Answer, body_bytes: int) -> None:
        """Count a large body until its answer is no longer in use."""
        if body_bytes <= SMALL_BODY_BYTES:
            return
        self.held_bytes += body_bytes
        finalize(answer, self.release, body_bytes)

    def release(self, freed_bytes: int) -> None:
        """Count a body that is no longer in memory."""
        self.held_bytes -= freed_bytes
