"""The connection to one peer, on which this host asks and the peer replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from uuid import uuid4

import zmq
import zmq.asyncio

from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.exceptions import PeerMessageError

if TYPE_CHECKING:
    import msgspec

    from flamingoladder.members.member import Member
    from flamingoladder.peers.envelope import EnvelopeCodec
    from flamingoladder.peers.keys import LinkKeys
    from flamingoladder.timeline.recorder import Recorder

HEARTBEAT_INTERVAL_MS = 2_000
HEARTBEAT_TIMEOUT_MS = 6_000
RECONNECT_INTERVAL_MS = 100
RECONNECT_INTERVAL_MAX_MS = 1_000
QUEUED_MESSAGES = 1_000
MESSAGE_BYTES = 4_194_304
SILENCE_S = 2.0
UNANSWERED_START_S = 1.2
REFUSED_START_S = 0.25


def configure(socket: zmq.asyncio.Socket, keys: LinkKeys) -> None:
    """Set the key pair, the heartbeats and the bounds of a peer socket."""
    socket.curve_publickey = keys.public_key.encode("ascii")
    socket.curve_secretkey = keys.secret_key.encode("ascii")
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES)


class PeerConnection:
    """Questions to one incarnation of a peer, and the task that receives its replies."""

    __slots__ = (
        "_codec",
        "_questions",
        "_recorder",
        "_refusals",
        "_replies_by_question",
        "_socket",
        "_task",
        "_unanswered_since",
        "member",
        "was_answered",
    )

    def __init__(
        self,
        socket: zmq.asyncio.Socket,
        member: Member,
        codec: EnvelopeCodec,
        recorder: Recorder,
    ) -> None:
        self.member = member
        self._codec = codec
        self._socket = socket
        # The default address holds a descriptor, which a socket closed just before may still use.
        self._refusals = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_FAILED_AUTH, f"inproc://refusals-{uuid4()}"
        )
        self._recorder = recorder
        self._questions = 0
        self._unanswered_since: float | None = None
        self.was_answered = False
        self._replies_by_question: dict[int, asyncio.Future[msgspec.Struct | None]] = {}
        self._task = asyncio.create_task(self._receive())

    @classmethod
    def open(
        cls,
        context: zmq.asyncio.Context,
        member: Member,
        keys: LinkKeys,
        codec: EnvelopeCodec,
        recorder: Recorder,
    ) -> PeerConnection:
        """Start connecting; messages wait until the link is up, or are lost with the connection."""
        socket = context.socket(zmq.DEALER)
        configure(socket, keys)
        socket.curve_serverkey = member.peer_public_key.encode("ascii")
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)
        socket.connect(member.peer_endpoint)
        return cls(socket, member, codec, recorder)

    def is_silent(self, now: float) -> bool:
        """Return whether questions have gone unanswered for too long.

        That is ``SILENCE_S``, or ``UNANSWERED_START_S`` if nothing was ever answered. A peer that
        has not learned of this host yet refuses the link; ZeroMQ does not try again then, so
        ``REFUSED_START_S`` is enough.
        """
        since = self._unanswered_since
        return since is not None and now - since >= self._patience_s()

    async def ask(self, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct | None:
        """Return the reply, or None if none came within ``timeout_s`` seconds."""
        self._questions += 1
        question = self._questions
        reply: asyncio.Future[msgspec.Struct | None] = asyncio.get_running_loop().create_future()
        self._replies_by_question[question] = reply
        if self._unanswered_since is None:
            self._unanswered_since = asyncio.get_running_loop().time()
        try:
            self._send(message, question)
            return await asyncio.wait_for(reply, timeout_s)
        except TimeoutError:
            return None
        finally:
            del self._replies_by_question[question]

    def tell(self, message: msgspec.Struct) -> None:
        """Send the message without waiting."""
        self._send(message, 0)

    def close(self) -> None:
        """Drop the connection; open questions time out."""
        self._task.cancel()
        self._socket.close(linger=0)
        self._refusals.close(linger=0)

    def _patience_s(self) -> float:
        if self.was_answered:
            return SILENCE_S
        refused = int(self._refusals.getsockopt(zmq.EVENTS)) & zmq.POLLIN
        return REFUSED_START_S if refused else UNANSWERED_START_S

    def _send(self, message: msgspec.Struct, question: int) -> None:
        recorder = self._recorder
        clock = recorder.clock.tick()
        frame = self._codec.encode(
            Envelope(recorder.host, recorder.incarnation, question, clock, message)
        )
        try:
            zmq.Socket.send(self._socket, frame, zmq.NOBLOCK)
        except zmq.Again:
            return

    async def _receive(self) -> None:
        while True:
            frame = await self._socket.recv()
            try:
                envelope = self._codec.decode(frame)
            except PeerMessageError as error:
                self._recorder.record("peer.bad_message", peer=self.member.host, error=error)
                continue
            self._recorder.clock.observe(envelope.clock)
            self._unanswered_since = None
            self.was_answered = True
            reply = self._replies_by_question.get(envelope.question)
            if reply is not None and not reply.done():
                reply.set_result(envelope.body)
