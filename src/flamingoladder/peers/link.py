"""Interface for messages and requests between components on different entry hosts."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

M = TypeVar("M", bound=msgspec.Struct)


class Peer(msgspec.Struct, frozen=True):
    """The identity of the host that sent a message, authenticated by its public key."""

    host: str
    incarnation: str


Handler = Callable[[Peer, M], Awaitable[msgspec.Struct | None]]
Receiver = Callable[[Peer, M], None]


class PeerLinks(ABC):
    """Links to all other registered hosts."""

    @property
    @abstractmethod
    def own(self) -> Peer:
        """Return this host's identity."""

    @property
    @abstractmethod
    def hosts(self) -> Collection[str]:
        """Return the names of the other registered hosts."""

    @abstractmethod
    def register(self, message_type: type[M], handler: Handler[M]) -> None:
        """Call ``handler`` for each message of ``message_type``; its result is the reply."""

    def subscribe(self, message_type: type[M], receive: Receiver[M]) -> None:
        """Call ``receive`` for each message of ``message_type``, which has no reply.

        Links may do so without a task for each message.
        """

        async def handle(peer: Peer, message: M) -> None:
            receive(peer, message)

        self.register(message_type, handle)

    @abstractmethod
    async def request(
        self, host: str, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | None:
        """Send ``message`` and return the reply, or None if none arrives within ``timeout_s``.

        After None, the other host may or may not have processed the message.
        """

    @abstractmethod
    def send(self, host: str, message: msgspec.Struct) -> None:
        """Send ``message`` without waiting for a reply; it may be lost."""

    def send_all(self, hosts: Iterable[str], message: msgspec.Struct) -> None:
        """Send ``message`` to each of the hosts without waiting for replies; it may be lost."""
        for host in hosts:
            self.send(host, message)
