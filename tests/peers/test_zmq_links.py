"""Tests of peer links over real sockets."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

import msgspec
import pytest
import zmq
import zmq.asyncio

from flamingoladder.daemon.peer_messages import PEER_CODEC
from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.members.member import Member
from flamingoladder.peers import connection
from flamingoladder.peers.connection import configure_socket
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.link import Peer
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REPLY_TIMEOUT_S = 5.0
REFUSED_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.02
# 55 ms one way, between regions.
MAX_ROUND_TRIP_S = 0.11
HANDSHAKE_ROUND_TRIPS = 6
MONITOR_ADDRESS_COUNT = 500


class Host:
    """Peer links of one host, bound to a free loopback port."""

    def __init__(self, host: str, *, opens_ahead: bool = True) -> None:
        self.keys = LinkKeys.generate()
        self.recorder = Recorder(host, f"{host}-1")
        self.links = ZmqLinks(self.keys, PEER_CODEC, self.recorder, lambda _member: opens_ahead)
        self.links.start("tcp://127.0.0.1:*")
        endpoint = self.links._socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.member = Member(
            host, "r", "d", f"{host}-1", "http://127.0.0.1:1", endpoint, self.keys.public_key
        )
        self.links.register(ConfirmRequest, self._confirm)

    async def _confirm(self, peer: Peer, message: ConfirmRequest) -> msgspec.Struct:
        return ConfirmReply(message.version, peer == Peer("h1", "h1-1"))


@pytest.fixture
async def hosts() -> AsyncIterator[tuple[Host, Host]]:
    pair = (Host("h1"), Host("h2"))
    yield pair
    for host in pair:
        host.links.close()


async def _request_until_reply(sender: Host, host: str) -> msgspec.Struct | None:
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        while True:
            reply = await sender.links.request(host, ConfirmRequest(1), 0.2)
            if reply is not None:
                return reply


async def test_registered_host_gets_reply(hosts: tuple[Host, Host]) -> None:
    first, second = hosts
    for host in hosts:
        host.links.update_directory([first.member, second.member])
    assert await _request_until_reply(first, "h2") == ConfirmReply(1, True)


@pytest.mark.parametrize(
    "odd",
    [
        {"peer_endpoint": ""},
        {"peer_endpoint": "127.0.0.1:7001"},
        {"peer_endpoint": "tcp://127.0.0.1:65536"},
        {"peer_endpoint": "tcp://a\0b:7001"},
        {"peer_public_key": ""},
        {"peer_public_key": "x" * 39},
        {"peer_public_key": "#" * 40},
        {"peer_public_key": "\u2603" * 40},
    ],
)
async def test_a_member_that_no_link_can_be_opened_to_costs_no_other_link(
    hosts: tuple[Host, Host], odd: dict[str, str]
) -> None:
    """The reading of the table of members ended there, so its other hosts got no link."""
    first, second = hosts
    unusable = msgspec.structs.replace(second.member, host="h0", **odd)
    for host in hosts:
        host.links.update_directory([unusable, first.member, second.member])
    assert await _request_until_reply(first, "h2") == ConfirmReply(1, True)
    assert await first.links.request("h0", ConfirmRequest(1), 0.1) is None


@pytest.mark.parametrize("takes_compressed", [True, False])
async def test_message_to_all_is_compressed_for_hosts_that_can_read_it(
    hosts: tuple[Host, Host], monkeypatch: pytest.MonkeyPatch, takes_compressed: bool
) -> None:
    first, second = hosts
    received: asyncio.Queue[ConfirmReply] = asyncio.Queue()

    async def receive(_peer: Peer, message: ConfirmReply) -> None:
        received.put_nowait(message)

    second.links.register(ConfirmReply, receive)
    member = msgspec.structs.replace(second.member, takes_compressed=takes_compressed)
    for host in hosts:
        host.links.update_directory([first.member, member])
    await _request_until_reply(first, "h2")
    frames: list[bytes] = []
    send_frame = connection.PeerConnection.send_frame

    def recording(link: connection.PeerConnection, frame: bytes) -> None:
        frames.append(frame)
        send_frame(link, frame)

    monkeypatch.setattr(connection.PeerConnection, "send_frame", recording)
    message = ConfirmReply(1, True, "i", ("key",) * 2_000)
    first.links.send_all(["h2", "unknown"], message)
    assert await asyncio.wait_for(received.get(), REPLY_TIMEOUT_S) == message
    assert (max(map(len, frames)) < 1_000) is takes_compressed


async def test_link_that_is_not_opened_ahead_is_opened_by_the_first_message() -> None:
    first, second = Host("h1", opens_ahead=False), Host("h2", opens_ahead=False)
    try:
        for host in (first, second):
            host.links.update_directory([first.member, second.member])
        assert first.links._connections_by_host == {}
        assert await _request_until_reply(first, "h2") == ConfirmReply(1, True)
        assert list(first.links._connections_by_host) == ["h2"]
        assert second.links._connections_by_host == {}
    finally:
        for host in (first, second):
            host.links.close()


async def test_host_registered_after_refusal_gets_reply(hosts: tuple[Host, Host]) -> None:
    first, second = hosts
    first.links.update_directory([second.member])
    assert await first.links.request("h2", ConfirmRequest(1), REFUSED_TIMEOUT_S) is None
    assert second.links.authenticator.unknown_key_rejected.is_set()
    second.links.update_directory([first.member])
    assert await _request_until_reply(first, "h2") == ConfirmReply(1, True)


async def test_refused_link_reconnects_without_requests(
    hosts: tuple[Host, Host],
) -> None:
    first, second = hosts
    first.links.update_directory([second.member])
    await second.links.authenticator.unknown_key_rejected.wait()
    second.links.update_directory([first.member])
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        while True:
            if first.links.has_received_reply("h2"):
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def test_refused_link_reconnects_before_handshake_timeout(
    hosts: tuple[Host, Host], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection, "HANDSHAKE_TIMEOUT_S", inf)
    first, second = hosts
    first.links.update_directory([second.member])
    await second.links.authenticator.unknown_key_rejected.wait()
    second.links.update_directory([first.member])
    assert await _request_until_reply(first, "h2") == ConfirmReply(1, True)


async def test_link_opens_while_default_monitor_addresses_are_bound(
    hosts: tuple[Host, Host],
) -> None:
    first, second = hosts
    # A recently closed socket may still hold its default monitor address.
    bound_socket = first.links._context.socket(zmq.PAIR)
    for descriptor in range(MONITOR_ADDRESS_COUNT):
        bound_socket.bind(f"inproc://monitor.s-{descriptor}")
    for host in hosts:
        host.links.update_directory([first.member, second.member])
    assert await _request_until_reply(first, "h2") == ConfirmReply(1, True)


async def test_message_with_wrong_sender_is_rejected(hosts: tuple[Host, Host]) -> None:
    first, second = hosts
    for host in hosts:
        host.links.update_directory([first.member, second.member])
    await _request_until_reply(first, "h2")
    first.recorder.host = "h3"
    assert await first.links.request("h2", ConfirmRequest(1), REFUSED_TIMEOUT_S) is None
    kinds = {event.kind for event in second.recorder.since(0)}
    assert kinds - {"peer.silent"} == {"peer.wrong_sender"}


async def test_truncated_message_leaves_link_usable(hosts: tuple[Host, Host]) -> None:
    first, second = hosts
    for host in hosts:
        host.links.update_directory([first.member, second.member])
    socket = first.links._context.socket(zmq.DEALER)
    configure_socket(socket, first.keys)
    socket.curve_serverkey = second.keys.public_key.encode()
    socket.connect(second.member.peer_endpoint)
    recorded = asyncio.Event()
    second.recorder.events.subscribe(lambda event: recorded.set())
    await socket.send(b"\x95\xa2h1")
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        await recorded.wait()
    assert await _request_until_reply(first, "h2") == ConfirmReply(1, True)
    assert [event.kind for event in second.recorder.since(0)] == ["peer.bad_message"]


@pytest.mark.parametrize(
    ("unanswered_s", "silent"),
    [(HANDSHAKE_ROUND_TRIPS * MAX_ROUND_TRIP_S, False), (2.0, True)],
)
async def test_link_is_silent_only_after_slowest_handshake(
    hosts: tuple[Host, Host], unanswered_s: float, silent: bool
) -> None:
    first, second = hosts
    first.links.update_directory([second.member])
    peer_connection = first.links._connections_by_host["h2"]
    peer_connection.has_received_reply = False
    peer_connection._unanswered_since = 0.0
    assert peer_connection.is_silent(unanswered_s) is silent
