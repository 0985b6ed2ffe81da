"""Peer links inside one process, with seeded delays, losses, cuts and frozen hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from flamingoladder.peers.link import Handler
from flamingoladder.peers.link import M
from flamingoladder.peers.link import Peer
from flamingoladder.peers.link import PeerLinks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from random import Random

    import msgspec


class Network:
    """The network between hosts. Delays are one way, in seconds.

    ``delays_by_pair`` overrides ``delay_s`` for ordered pairs of hosts; ``cuts`` holds ordered
    pairs whose messages are lost; messages to a host that is frozen wait until it is thawed.
    ``tap`` is called with sender, receiver and content of each message as it is sent.
    """

    __slots__ = (
        "cuts",
        "delay_s",
        "delays_by_pair",
        "links_by_host",
        "loss",
        "messages",
        "random",
        "tap",
        "thawed_by_host",
    )

    def __init__(self, random: Random, delay_s: float = 0.001, loss: float = 0.0) -> None:
        self.random = random
        self.delay_s = delay_s
        self.loss = loss
        self.delays_by_pair: dict[tuple[str, str], float] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.thawed_by_host: dict[str, asyncio.Event] = {}
        self.links_by_host: dict[str, NetworkLinks] = {}
        self.messages = 0
        self.tap: Callable[[str, str, msgspec.Struct | None], None] = _ignore

    def join(self, host: str, incarnation: str) -> NetworkLinks:
        """Return links for a new incarnation of ``host``, in place of an earlier one."""
        links = NetworkLinks(self, Peer(host, incarnation))
        self.links_by_host[host] = links
        return links

    def leave(self, host: str) -> None:
        """Take the host off the network."""
        self.links_by_host.pop(host, None)

    def freeze(self, host: str) -> None:
        """Hold back all messages to the host."""
        self.thawed_by_host[host] = asyncio.Event()

    def thaw(self, host: str) -> None:
        """Deliver the messages that were held back, and later ones at once."""
        self.thawed_by_host.pop(host).set()

    async def carry(self, sender: str, receiver: str, content: msgspec.Struct | None) -> bool:
        """Wait for one passage; return whether the message arrives."""
        self.messages += 1
        self.tap(sender, receiver, content)
        await asyncio.sleep(self.delays_by_pair.get((sender, receiver), self.delay_s))
        thawed = self.thawed_by_host.get(receiver)
        if thawed is not None:
            await thawed.wait()
        return (sender, receiver) not in self.cuts and self.random.random() >= self.loss


class NetworkLinks(PeerLinks):
    """One host's links."""

    __slots__ = ("_handlers_by_type", "_network", "_tasks", "peer")

    def __init__(self, network: Network, peer: Peer) -> None:
        self.peer = peer
        self._network = network
        self._handlers_by_type: dict[type, Handler[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def own(self) -> Peer:
        """Return this host's identity."""
        return self.peer

    @property
    def hosts(self) -> Collection[str]:
        """Return the other hosts on the network."""
        return tuple(host for host in self._network.links_by_host if host != self.peer.host)

    def register(self, message_type: type[M], handler: Handler[M]) -> None:
        """Call ``handler`` for each message of ``message_type``."""
        self._handlers_by_type[message_type] = handler

    async def request(
        self, host: str, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | None:
        """Return the reply, or None after ``timeout_s`` seconds."""
        try:
            return await asyncio.wait_for(self._exchange(host, message), timeout_s)
        except TimeoutError:
            return None

    def send(self, host: str, message: msgspec.Struct) -> None:
        """Send the message without waiting."""
        task = asyncio.create_task(self._deliver(host, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, host: str, message: msgspec.Struct) -> None:
        if await self._network.carry(self.peer.host, host, message):
            await self._handled_by(host, message)

    async def _exchange(self, host: str, message: msgspec.Struct) -> msgspec.Struct | None:
        answered: asyncio.Future[msgspec.Struct | None] = asyncio.Future()
        task = asyncio.create_task(self._question(host, message, answered))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await answered

    async def _question(
        self,
        host: str,
        message: msgspec.Struct,
        answered: asyncio.Future[msgspec.Struct | None],
    ) -> None:
        if not await self._network.carry(self.peer.host, host, message):
            return
        if host not in self._network.links_by_host:
            return
        reply = await self._handled_by(host, message)
        if await self._network.carry(host, self.peer.host, reply) and not answered.done():
            answered.set_result(reply)

    async def _handled_by(self, host: str, message: msgspec.Struct) -> msgspec.Struct | None:
        links = self._network.links_by_host.get(host)
        handler = links._handlers_by_type.get(type(message)) if links else None
        return await handler(self.peer, message) if handler else None


def _ignore(_sender: str, _receiver: str, _content: msgspec.Struct | None) -> None:
    return
