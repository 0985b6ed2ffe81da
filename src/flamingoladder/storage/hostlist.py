"""The platform's lagging list of live and leaving hosts."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from enum import StrEnum

import msgspec


class HostStatus(StrEnum):
    """What the platform believes of a host; it may lag."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True):
    """An entry of the platform's list."""

    host: str
    status: HostStatus


class HostList(ABC):
    """The platform's list of hosts."""

    @abstractmethod
    async def read(self, timeout_s: float) -> tuple[ListedHost, ...]:
        """Return the list as the platform knows it, possibly out of date.

        :raises PlatformUnavailableError: if no answer came within ``timeout_s`` seconds.
        """
