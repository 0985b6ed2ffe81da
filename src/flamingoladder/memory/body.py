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
# Each part is an object of its own, which takes 40 times its size if that is one byte.
MAX_FIRST_PARTS = 32


class PartedBody:
    """A large body in parts, which is never joined or copied whole.

    Up to ``BLOCK_BYTES`` the parts are as they came, which costs least. Beyond, or if there are
    many, they are in blocks, with ``in_blocks`` from the first byte on. The body owns its
    ``reservation`` of the budget. ``digest`` is brought up to date with each part.
    """

    __slots__ = ("_blocks", "_first_parts", "_max_first_parts", "_size", "digest", "reservation")

    def __init__(
        self,
        reservation: Reservation | None = None,
        digest: xxhash.xxh3_64 | None = None,
        *,
        in_blocks: bool = False,
    ) -> None:
        self._max_first_parts = 0 if in_blocks else MAX_FIRST_PARTS
        self.digest = digest
        self._first_parts: list[bytes] = []
        self._blocks: list[mmap] = []
        self._size = 0
        self.reservation = reservation

    def __len__(self) -> int:
        return self._size

    def add(self, part: bytes) -> None:
        """Append a part."""
        if self.digest is not None:
            self.digest.update(part)
        is_short = self._size + len(part) <= BLOCK_BYTES
        if is_short and not self._blocks and len(self._first_parts) < self._max_first_parts:
            self._first_parts.append(part)
            self._size += len(part)
            return
        first_parts, self._first_parts = self._first_parts, []
        if first_parts:
            self._size = 0
        for each in (*first_parts, part):
            self._add_to_blocks(each)

    def _add_to_blocks(self, part: bytes) -> None:
        taken = 0
        while taken < len(part):
            used = self._size % BLOCK_BYTES
            if not used:
                self._blocks.append(mmap(-1, BLOCK_BYTES))
            more = min(BLOCK_BYTES - used, len(part) - taken)
            self._blocks[-1][used : used + more] = part[taken : taken + more]
            self._size += more
            taken += more

    def parts(self) -> Iterator[bytes | memoryview]:
        """Return parts of up to ``SMALL_BYTES`` each, in order."""
        for part in self._first_parts:
            yield from _slices(part)
        left = self._size
        for block in self._blocks:
            yield from _slices(memoryview(block)[: min(left, BLOCK_BYTES)])
            left -= BLOCK_BYTES

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

    def parts(self) -> Iterator[bytes | memoryview]:
        """Return parts of up to ``SMALL_BYTES`` each."""
        return self._body.parts() if isinstance(self._body, PartedBody) else _slices(self._body)

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


def _slices(part: bytes | memoryview) -> Iterator[bytes | memoryview]:
    if len(part) <= SMALL_BYTES:
        yield part
        return
    view = memoryview(part)
    for start in range(0, len(view), SMALL_BYTES):
        yield view[start : start + SMALL_BYTES]
