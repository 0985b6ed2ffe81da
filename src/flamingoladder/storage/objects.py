"""The platform's object store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class ObjectStore(ABC):
    """Immutable objects, addressed by the digest of their content."""

    @abstractmethod
    async def put(self, name: str, content: bytes, timeout_s: float) -> None:
        """Store ``content`` under ``name``; storing the same content again succeeds.

        :raises PlatformUnavailableError: if the store certainly did not take it.
        :raises OutcomeUnknownError: if the answer was lost.
        """

    @abstractmethod
    async def get(self, name: str, timeout_s: float) -> bytes | None:
        """Return the object's content, or None if there is none.

        :raises PlatformUnavailableError: if no answer came within ``timeout_s`` seconds.
        """
