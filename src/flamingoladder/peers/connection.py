"""Outgoing connection to one peer, for messages, requests and their replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from uuid import uuid4

import zmq

from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.exceptions import PeerMessageError
from flamingoladder.peers.socket_reader import SocketReader

if TYPE_CHECKING:
    import msgspec

    from flamingoladder.members.member import Member
    from flamingoladder.peers.envelope import EnvelopeCodec
    from flamingoladder.peers.keys import LinkKeys
    from flamingoladder.timeline.recorder import Recorder

ZMTP_HEARTBEAT_INTERVAL_MS = 2_000
ZMTP_HEARTBEAT_TIMEOUT_MS = 6_000
RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1_000
MAX_QUEUED_MESSAGES = 1_000
MAX_MESSAGE_BYTES = 4_194_304
SILENCE_TIMEOUT_S = 2.0
# The TCP, ZMTP and CURVE handshakes take over 0.5 s at 55 ms one way. With 0.25 s, links between
# regions were closed before they were open.
HANDSHAKE_TIMEOUT_S = 1.2
# With 1.2 s for refused links, the first changes after a start failed because links to a majority
# of the hosts were not open yet.
REFUSED_HANDSHAKE_TIMEOUT_S = 0.25


def open_socket(context: zmq.Context[Any], kind: int) -> zmq.Socket[bytes]:
    """Return a socket for a ``SocketReader``, also from the context of asyncio's sockets."""
    socket: zmq.Socket[bytes] = context.socket(kind, socket_class=zmq.Socket)
    return socket


def configure_socket(socket: zmq.Socket[Any], keys: LinkKeys) -> None:
    """Set the key pair, and queue and message size limits of a peer socket."""
    socket.curve_publickey = keys.public_key.encode("ascii")
    socket.curve_secretkey = keys.secret_key.encode("ascii")
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)


class PeerConnection:
    """A connection to one incarnation of a peer, which receives its replies."""

    __slots__ = (
        "_auth_failure_monitor",
        "_codec",
        "_last_request_id",
        "_reader",
        "_recorder",
        "_replies_by_request_id",
        "_socket",
        "_unanswered_since",
        "has_received_reply",
        "member",
    )

    def __init__(
        self,
        socket: zmq.Socket[bytes],
        member: Member,
        codec: EnvelopeCodec,
        recorder: Recorder,
    ) -> None:
        self.member = member
        self._codec = codec
        self._socket = socket
        # ZeroMQ's default monitor address contains the socket's file descriptor, so it may still be
        # bound by a recently closed socket with the same descriptor.
        self._auth_failure_monitor = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_FAILED_AUTH, f"inproc://refusals-{uuid4()}"
        )
        self._recorder = recorder
        self._last_request_id = 0
        self._unanswered_since: float | None = None
        self.has_received_reply = False
        self._replies_by_request_id: dict[int, asyncio.Future[msgspec.Struct | None]] = {}
        self._reader = SocketReader(socket, self._receive, recorder)

    @classmethod
    def open(
        cls,
        context: zmq.Context[Any],
        member: Member,
        keys: LinkKeys,
        codec: EnvelopeCodec,
        recorder: Recorder,
    ) -> PeerConnection:
        """Start connecting; messages are queued until the link is up, and lost if it is closed."""
        socket = open_socket(context, zmq.DEALER)
        configure_socket(socket, keys)
        socket.curve_serverkey = member.peer_public_key.encode("ascii")
        # Only the end that opens a link sends ZMTP heartbeats: those of both cost twice the bytes.
        socket.setsockopt(zmq.HEARTBEAT_IVL, ZMTP_HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, ZMTP_HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
        socket.connect(member.peer_endpoint)
        return cls(socket, member, codec, recorder)

    def is_silent(self, now: float) -> bool:
        """Return whether the peer has left requests unanswered for too long.

        The limit is ``SILENCE_TIMEOUT_S``, or ``HANDSHAKE_TIMEOUT_S`` before the first reply. A
        peer whose directory does not contain this host yet refuses the link. ZeroMQ does not
        reconnect a refused link, so the limit is then only ``REFUSED_HANDSHAKE_TIMEOUT_S``.
        """
        since = self._unanswered_since
        return since is not None and now - since >= self._silence_timeout_s()

    async def request(self, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct | None:
        """Send ``message`` and return the reply, or None if none arrives within ``timeout_s``."""
        self._last_request_id += 1
        request_id = self._last_request_id
        reply: asyncio.Future[msgspec.Struct | None] = asyncio.get_running_loop().create_future()
        self._replies_by_request_id[request_id] = reply
        if self._unanswered_since is None:
            self._unanswered_since = asyncio.get_running_loop().time()
        try:
            self._send(message, request_id)
            return await asyncio.wait_for(reply, timeout_s)
        except TimeoutError:
            return None
        finally:
            del self._replies_by_request_id[request_id]

    def send(self, message: msgspec.Struct) -> None:
        """Send ``message`` without waiting for a reply."""
        self._send(message, 0)

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded message without waiting; it is dropped while too many are queued."""
        try:
            self._socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self._recorder.record("peer.queue_full", peer=self.member.host, bytes=len(frame))
        self._reader.check()

    def close(self) -> None:
        """Close the connection; pending requests time out."""
        self._reader.close()
        self._socket.close(linger=0)
        self._auth_failure_monitor.close(linger=0)

    def _silence_timeout_s(self) -> float:
        if self.has_received_reply:
            return SILENCE_TIMEOUT_S
        refused = int(self._auth_failure_monitor.getsockopt(zmq.EVENTS)) & zmq.POLLIN
        return REFUSED_HANDSHAKE_TIMEOUT_S if refused else HANDSHAKE_TIMEOUT_S

    def _send(self, message: msgspec.Struct, request_id: int) -> None:
        recorder = self._recorder
        clock = recorder.clock.tick()
        frame = self._codec.encode(
            Envelope(recorder.host, recorder.incarnation, request_id, clock, message)
        )
        self.send_frame(frame)

    def _receive(self, frames: list[zmq.Frame]) -> None:
        try:
            envelope = self._codec.decode(frames[-1].bytes)
        except PeerMessageError as error:
            self._recorder.record("peer.bad_message", peer=self.member.host, error=error)
            return
        self._recorder.clock.observe(envelope.clock)
        self._unanswered_since = None
        self.has_received_reply = True
        reply = self._replies_by_request_id.get(envelope.request_id)
        if reply is not None and not reply.done():
            reply.set_result(envelope.body)
