"""Peer links over ZeroMQ with CURVE keys."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import zmq
import zmq.asyncio

from flamingoladder.peers.authentication import LinkAuthenticator
from flamingoladder.peers.connection import PeerConnection
from flamingoladder.peers.connection import configure
from flamingoladder.peers.directory import PeerDirectory
from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.exceptions import PeerMessageError
from flamingoladder.peers.link import Handler
from flamingoladder.peers.link import M
from flamingoladder.peers.link import Peer
from flamingoladder.peers.link import PeerLinks
from flamingoladder.peers.messages import Heartbeat
from flamingoladder.supervision import supervised

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    import msgspec

    from flamingoladder.members.member import Member
    from flamingoladder.peers.envelope import EnvelopeCodec
    from flamingoladder.peers.keys import LinkKeys
    from flamingoladder.timeline.recorder import Recorder

HANDLERS_AT_ONCE = 1_000
HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 0.3


class ZmqLinks(PeerLinks):
    """One socket that peers connect to, and one connection to each peer."""

    __slots__ = (
        "_codec",
        "_connections_by_host",
        "_context",
        "_directory",
        "_handlers_by_type",
        "_handling",
        "_heartbeats_by_host",
        "_keys",
        "_recorder",
        "_socket",
        "_task",
        "authenticator",
    )

    def __init__(self, keys: LinkKeys, codec: EnvelopeCodec, recorder: Recorder) -> None:
        self._keys = keys
        self._codec = codec
        self._recorder = recorder
        self._context = zmq.asyncio.Context()
        self._directory = PeerDirectory(recorder.host)
        self.authenticator = LinkAuthenticator(self._context, self._directory)
        self._connections_by_host: dict[str, PeerConnection] = {}
        self._heartbeats_by_host: dict[str, asyncio.Task[None]] = {}
        self._handlers_by_type: dict[type, Handler[Any]] = {}
        self._handling: set[asyncio.Task[None]] = set()
        self._socket: zmq.asyncio.Socket = self._context.socket(zmq.ROUTER)
        self._task: asyncio.Task[None] | None = None
        self.register(Heartbeat, self._answer_heartbeat)

    @property
    def hosts(self) -> Collection[str]:
        """Return the names of the other hosts in the directory."""
        return tuple(self._directory.by_host)

    def covers(self, members: Iterable[Member]) -> bool:
        """Return whether there is a link to the incarnation of each other member."""
        by_host = self._directory.by_host
        return all(
            member.host == self._recorder.host
            or (member.host in by_host and by_host[member.host].incarnation == member.incarnation)
            for member in members
        )

    def is_answered(self, host: str) -> bool:
        """Return whether the present connection to ``host`` has been answered."""
        connection = self._connections_by_host.get(host)
        return connection is not None and connection.was_answered

    def start(self, endpoint: str) -> None:
        """Accept links on ``endpoint``, such as ``tcp://127.0.0.1:7001``.

        :raises zmq.ZMQError: if the endpoint is in use.
        """
        self.authenticator.start()
        configure(self._socket, self._keys)
        self._socket.curve_server = True
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._socket.bind(endpoint)
        self._task = asyncio.create_task(supervised("links", self._serve, self._recorder))

    def close(self) -> None:
        """Drop all links."""
        for task in [self._task, *self._handling, *self._heartbeats_by_host.values()]:
            if task is not None:
                task.cancel()
        for connection in self._connections_by_host.values():
            connection.close()
        self.authenticator.stop()
        self._context.destroy(linger=0)

    def update_directory(self, members: Iterable[Member]) -> None:
        """Accept and connect to just these members; a new incarnation gets a new connection."""
        self._directory.replace(members)
        for host, connection in list(self._connections_by_host.items()):
            if self._directory.by_host.get(host) != connection.member:
                connection.close()
                del self._connections_by_host[host]
                self._heartbeats_by_host.pop(host).cancel()
        for host, member in self._directory.by_host.items():
            if host not in self._connections_by_host:
                self._open(member)
                keep_alive = supervised(
                    f"link to {host}", partial(self._keep_alive, host), self._recorder
                )
                self._heartbeats_by_host[host] = asyncio.create_task(keep_alive)

    def register(self, message_type: type[M], handler: Handler[M]) -> None:
        """Call ``handler`` for each message of ``message_type``."""
        self._handlers_by_type[message_type] = handler

    async def ask(
        self, host: str, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | None:
        """Return the reply, or None if the host is unknown or silent for ``timeout_s``."""
        connection = self._connections_by_host.get(host)
        if connection is None:
            return None
        reply = await connection.ask(message, timeout_s)
        if reply is None:
            self._reopen_if_silent(connection, asyncio.get_running_loop().time())
        return reply

    def tell(self, host: str, message: msgspec.Struct) -> None:
        """Send the message without waiting."""
        connection = self._connections_by_host.get(host)
        if connection is not None:
            connection.tell(message)

    async def _keep_alive(self, host: str) -> None:
        while True:
            reply = await self.ask(host, Heartbeat(), HEARTBEAT_TIMEOUT_S)
            if reply is not None:
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _open(self, member: Member) -> None:
        self._connections_by_host[member.host] = PeerConnection.open(
            self._context, member, self._keys, self._codec, self._recorder
        )

    def _reopen_if_silent(self, connection: PeerConnection, now: float) -> None:
        member = connection.member
        if self._connections_by_host.get(member.host) is not connection:
            return
        if not connection.is_silent(now):
            return
        self._recorder.record("peer.silent", peer=member.host)
        connection.close()
        self._open(member)

    async def _serve(self) -> None:
        while True:
            frames = await self._socket.recv_multipart(copy=False)
            envelope = self._accepted(frames)
            if envelope is None or len(self._handling) >= HANDLERS_AT_ONCE:
                continue
            task = asyncio.create_task(self._handle(frames[0].bytes, envelope))
            self._handling.add(task)
            task.add_done_callback(self._handling.discard)

    def _accepted(self, frames: list[zmq.Frame]) -> Envelope | None:
        """Return the envelope if it is well formed and its sender is who the link key says."""
        sender = self._directory.by_public_key.get(str(frames[-1].get("User-Id")))
        if sender is None:
            return None
        try:
            envelope = self._codec.decode(frames[-1].bytes)
        except PeerMessageError as error:
            self._recorder.record("peer.bad_message", peer=sender.host, error=error)
            return None
        if (envelope.host, envelope.incarnation) != (sender.host, sender.incarnation):
            self._recorder.record("peer.wrong_sender", peer=sender.host, claimed=envelope.host)
            return None
        self._recorder.clock.observe(envelope.clock)
        return envelope

    async def _answer_heartbeat(self, _peer: Peer, heartbeat: Heartbeat) -> msgspec.Struct:
        return heartbeat

    async def _handle(self, route: bytes, envelope: Envelope) -> None:
        handler = self._handlers_by_type.get(type(envelope.body))
        if handler is None:
            return
        reply = await handler(Peer(envelope.host, envelope.incarnation), envelope.body)
        if envelope.question == 0:
            return
        recorder = self._recorder
        answer = Envelope(
            recorder.host,
            recorder.incarnation,
            envelope.question,
            recorder.clock.tick(),
            reply,
        )
        await self._socket.send_multipart([route, self._codec.encode(answer)])
