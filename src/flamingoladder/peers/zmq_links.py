"""Peer links over ZeroMQ with CURVE encryption and authentication."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import zmq
import zmq.asyncio

from flamingoladder.peers.authentication import LinkAuthenticator
from flamingoladder.peers.connection import PeerConnection
from flamingoladder.peers.connection import configure_socket
from flamingoladder.peers.connection import open_socket
from flamingoladder.peers.directory import PeerDirectory
from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.exceptions import PeerMessageError
from flamingoladder.peers.link import Handler
from flamingoladder.peers.link import M
from flamingoladder.peers.link import Peer
from flamingoladder.peers.link import PeerLinks
from flamingoladder.peers.link import Receiver
from flamingoladder.peers.messages import Heartbeat
from flamingoladder.peers.socket_reader import SocketReader
from flamingoladder.supervision import supervised

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    import msgspec

    from flamingoladder.members.member import Member
    from flamingoladder.peers.envelope import EnvelopeCodec
    from flamingoladder.peers.keys import LinkKeys
    from flamingoladder.timeline.recorder import Recorder

MAX_CONCURRENT_HANDLERS = 1_000
# Heartbeats detect a refused link, so that it is reopened before other requests need it.
HEARTBEAT_INTERVAL_S = 2.0
# More links have longer intervals, so that heartbeats per second don't grow with links.
LINKS_AT_FULL_HEARTBEAT_RATE = 16
HEARTBEAT_TIMEOUT_S = 0.3


def _any_member(_member: Member) -> bool:
    return True


class ZmqLinks(PeerLinks):
    """Peer links with one listening socket and one outgoing connection to each peer in use.

    Connections to the members for which ``opens_ahead`` holds are opened as soon as they are in the
    directory, the others when something is first sent to them.
    """

    __slots__ = (
        "_codec",
        "_connections_by_host",
        "_context",
        "_directory",
        "_handler_tasks",
        "_handlers_by_type",
        "_heartbeat_tasks_by_host",
        "_keys",
        "_opens_ahead",
        "_reader",
        "_receivers_by_type",
        "_recorder",
        "_socket",
        "authenticator",
    )

    def __init__(
        self,
        keys: LinkKeys,
        codec: EnvelopeCodec,
        recorder: Recorder,
        opens_ahead: Callable[[Member], bool] = _any_member,
    ) -> None:
        self._keys = keys
        self._opens_ahead = opens_ahead
        self._codec = codec
        self._recorder = recorder
        self._context = zmq.asyncio.Context()
        self._directory = PeerDirectory(recorder.host)
        self.authenticator = LinkAuthenticator(self._context, self._directory)
        self._connections_by_host: dict[str, PeerConnection] = {}
        self._heartbeat_tasks_by_host: dict[str, asyncio.Task[None]] = {}
        self._handlers_by_type: dict[type, Handler[Any]] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._receivers_by_type: dict[type, Receiver[Any]] = {}
        self._socket = open_socket(self._context, zmq.ROUTER)
        self._reader: SocketReader | None = None
        self.register(Heartbeat, self._answer_heartbeat)

    @property
    def own(self) -> Peer:
        """Return this host's identity."""
        return Peer(self._recorder.host, self._recorder.incarnation)

    @property
    def hosts(self) -> Collection[str]:
        """Return the names of the other hosts in the directory."""
        return tuple(self._directory.by_host)

    def has_links_to(self, members: Iterable[Member]) -> bool:
        """Return whether there is a link to the current incarnation of each other member."""
        by_host = self._directory.by_host
        return all(
            member.host == self._recorder.host
            or (member.host in by_host and by_host[member.host].incarnation == member.incarnation)
            for member in members
        )

    def has_received_reply(self, host: str) -> bool:
        """Return whether the current connection to ``host`` has received a reply."""
        connection = self._connections_by_host.get(host)
        return connection is not None and connection.has_received_reply

    def start(self, endpoint: str) -> None:
        """Accept links on ``endpoint``, such as ``tcp://127.0.0.1:7001``.

        :raises zmq.ZMQError: if the endpoint is in use.
        """
        self.authenticator.start()
        configure_socket(self._socket, self._keys)
        self._socket.curve_server = True
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._socket.bind(endpoint)
        self._reader = SocketReader(self._socket, self._receive, self._recorder)

    def close(self) -> None:
        """Close all links."""
        for task in [*self._handler_tasks, *self._heartbeat_tasks_by_host.values()]:
            task.cancel()
        if self._reader is not None:
            self._reader.close()
        for connection in self._connections_by_host.values():
            connection.close()
        self.authenticator.stop()
        self._context.destroy(linger=0)

    def update_directory(self, members: Iterable[Member]) -> None:
        """Accept and connect to only these members; a new incarnation gets a new connection.

        Members that no link can be opened to are left out.
        """
        known = self._directory.unusable_hosts
        self._directory.replace(members)
        for host in self._directory.unusable_hosts - known:
            self._recorder.record("peer.unusable", peer=host)
        for host, connection in list(self._connections_by_host.items()):
            if self._directory.by_host.get(host) != connection.member:
                connection.close()
                del self._connections_by_host[host]
                self._heartbeat_tasks_by_host.pop(host).cancel()
        for member in self._directory.by_host.values():
            if self._opens_ahead(member):
                self._connection_to(member.host)

    def register(self, message_type: type[M], handler: Handler[M]) -> None:
        """Call ``handler`` for each message of ``message_type``; its result is the reply."""
        self._handlers_by_type[message_type] = handler

    def subscribe(self, message_type: type[M], receive: Receiver[M]) -> None:
        """Call ``receive`` for each message of ``message_type`` as it arrives."""
        self._receivers_by_type[message_type] = receive

    async def request(
        self, host: str, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | None:
        """Return the reply, or None if the host is unknown or does not reply in ``timeout_s``."""
        connection = self._connection_to(host)
        if connection is None:
            return None
        reply = await connection.request(message, timeout_s)
        if reply is None:
            self._reopen_if_silent(connection, asyncio.get_running_loop().time())
        return reply

    def send(self, host: str, message: msgspec.Struct) -> None:
        """Send ``message`` without waiting for a reply; it is dropped if the host is unknown."""
        connection = self._connection_to(host)
        if connection is not None:
            connection.send(message)

    def send_all(self, hosts: Iterable[str], message: msgspec.Struct) -> None:
        """Send ``message`` to each of the hosts, encoded once; large ones are compressed."""
        recorder = self._recorder
        envelope = Envelope(recorder.host, recorder.incarnation, 0, recorder.clock.tick(), message)
        frames_by_compression: dict[bool, bytes] = {}
        for host in hosts:
            connection = self._connection_to(host)
            if connection is None:
                continue
            compress = connection.member.takes_compressed
            if compress not in frames_by_compression:
                frames_by_compression[compress] = self._codec.encode(envelope, compress=compress)
            connection.send_frame(frames_by_compression[compress])

    async def _send_heartbeats(self, host: str) -> None:
        while True:
            reply = await self.request(host, Heartbeat(), HEARTBEAT_TIMEOUT_S)
            if reply is not None:
                await asyncio.sleep(self._heartbeat_interval_s)

    @property
    def _heartbeat_interval_s(self) -> float:
        links = len(self._connections_by_host)
        return HEARTBEAT_INTERVAL_S * max(1.0, links / LINKS_AT_FULL_HEARTBEAT_RATE)

    def _connection_to(self, host: str) -> PeerConnection | None:
        """Return the connection to a host, opened if need be, or None if the host is unknown."""
        member = self._directory.by_host.get(host)
        if member is None or host in self._connections_by_host:
            return self._connections_by_host.get(host)
        self._open(member)
        send_heartbeats = supervised(
            f"link to {host}", partial(self._send_heartbeats, host), self._recorder
        )
        self._heartbeat_tasks_by_host[host] = asyncio.create_task(send_heartbeats)
        return self._connections_by_host[host]

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

    def _receive(self, frames: list[zmq.Frame]) -> None:
        envelope = self._authenticate(frames)
        if envelope is None:
            return
        receive = self._receivers_by_type.get(type(envelope.body))
        if receive is not None:
            receive(Peer(envelope.host, envelope.incarnation), envelope.body)
            return
        if len(self._handler_tasks) >= MAX_CONCURRENT_HANDLERS:
            self._recorder.record("peer.overloaded", peer=envelope.host)
            return
        task = asyncio.create_task(self._handle(frames[0].bytes, envelope))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    def _authenticate(self, frames: list[zmq.Frame]) -> Envelope | None:
        """Return the envelope if it is valid and its sender matches the link's public key."""
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

    async def _handle(self, routing_id: bytes, envelope: Envelope) -> None:
        handler = self._handlers_by_type.get(type(envelope.body))
        if handler is None:
            return
        reply = await handler(Peer(envelope.host, envelope.incarnation), envelope.body)
        if envelope.request_id == 0:
            return
        recorder = self._recorder
        reply_envelope = Envelope(
            recorder.host,
            recorder.incarnation,
            envelope.request_id,
            recorder.clock.tick(),
            reply,
        )
        try:
            self._socket.send_multipart(
                [routing_id, self._codec.encode(reply_envelope)], zmq.NOBLOCK
            )
        except zmq.Again:
            recorder.record("peer.queue_full", peer=envelope.host)
        if self._reader is not None:
            self._reader.check()
