"""Bodies that are held once, in parts."""

from __future__ import annotations

from mmap import mmap
from typing import TYPE_CHECKING
from typing import TypeAlias

from aiohttp.payload import Payload

from flamingoladder.memory.budget import SMALL_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator

    import xxhash
    from aiohttp.abc import AbstractStreamWriter

    from flamingoladder.memory.reservation import Reservation

# Blocks of this size are mapped by themselves, so the system gets them back as a body is freed.
# With parts as they came, 16 bodies in chunks brought a host of 200 MB over 140 MiB, with blocks
# to 125.
BLOCK_BYTES = 262_144


class PartedBody:
    """A large body in blocks, which is never joined or copied whole.

    It owns its ``reservation`` of the budget. ``digest`` is brought up to date with each part.
    """

    __slots__ = ("_blocks", "_size", "digest", "reservation")

    def __init__(
        self, reservation: Reservation | None = None, digest: xxhash.xxh3_64 | None = None
    ) -> None:
        self.digest = digest
        self._blocks: list[mmap] = []
        self._size = 0
        self.reservation = reservation

    def __len__(self) -> int:
        return self._size

    def add(self, part: bytes) -> None:
        """Append a part."""
        if self.digest is not None:
            self.digest.update(part)
        taken = 0
        while taken < len(part):
            used = self._size % BLOCK_BYTES
            if not used:
                self._blocks.append(mmap(-1, BLOCK_BYTES))
            more = min(BLOCK_BYTES - used, len(part) - taken)
            self._blocks[-1][used : used + more] = part[taken : taken + more]
            self._size += more
            taken += more

    def parts(self) -> Iterator[memoryview]:
        """Return parts of up to ``SMALL_BYTES`` each, in order."""
        left = self._size
        for block in self._blocks:
            view = memoryview(block)[: min(left, BLOCK_BYTES)]
            left -= len(view)
            for start in range(0, len(view), SMALL_BYTES):
                yield view[start : start + SMALL_BYTES]

    def joined(self) -> bytes:
        """Return the whole body as one object, which takes its size again."""
        return b"".join(self.parts())


Content: TypeAlias = bytes | PartedBody


class BodyPayload(Payload):
    """Writes a body part by part, each once the connection has taken the one before."""

    _autoclose = True

    def __init__(self, body: Content) -> None:
        super().__init__(None)
        self._body = body
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self.parts()).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body."""
        for part in self.parts():
            await writer.write(part)

    def parts(self) -> Iterator[memoryview]:
        """Return parts of up to ``SMALL_BYTES`` each."""
        if isinstance(self._body, PartedBody):
            return self._body.parts()
        view = memoryview(self._body)
        return (view[at : at + SMALL_BYTES] for at in range(0, len(view), SMALL_BYTES))

    def forget(self) -> None:
        """Let go of the body once it is written."""
        self._body = b""


def contains(body: Content, text: bytes) -> bool:
    """Return whether a body holds ``text``, which may lie across parts."""
    if not isinstance(body, PartedBody):
        return text in body
    end = b""
    for part in body.parts():
        joined = end + bytes(part)
        if text in joined:
            return True
        end = joined[max(0, len(joined) - len(text) + 1) :]
    return False
