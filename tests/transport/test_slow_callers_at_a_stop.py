"""Tests that a planned stop ends only once callers that read slowly have their answers.

The last part of an answer may wait in the process after its request has ended; it is lost if the
event loop ends before it is written out.
"""

from __future__ import annotations

import asyncio
import socket
import time
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.entry import daemon
from flamingoladder.platform.standins.deployment import LocalPlatform
from flamingoladder.platform.standins.deployment import configuration
from tests.gateway.fakes import Gateway
from tests.gateway.states import KEY
from tests.gateway.states import FixedState
from tests.gateway.states import agreed
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    # Runs a host, tells its port, and stops it once the event is set.
    RunHost = Callable[[Future[int], asyncio.Event], Awaitable[None]]

LOOPBACK = "127.0.0.1"
ANSWER_BYTES = 540_000
READ_BYTES = 8_192
READ_PER_S = 150_000
RECEIVE_BUFFER_BYTES = 16_384
SILENCE_S = 2.0
STOP_GRACE_S = 20.0
KEYS = {"turf": ["k-turf"]}


async def run_entry(port: Future[int], is_answering: asyncio.Event) -> None:
    platform = LocalPlatform(Random(), hosts=1)
    await platform.start(KEYS)
    ample = configuration(2, KEYS)
    ample["limits"]["max_body_bytes"] = 2 * ANSWER_BYTES
    await platform.store.write("op", "config", msgspec.json.encode(ample))
    host = platform.hosts[0]
    await eventually(lambda: host.configuration_version == 2)
    port.set_result(int(platform.caller_urls[0].rpartition(":")[2]))
    await is_answering.wait()
    await host.stop()


async def run_gateway(port: Future[int], is_answering: asyncio.Event) -> None:
    gateway = Gateway(FixedState(agreed()))
    gateway.dispatcher.answer_bytes = ANSWER_BYTES
    await gateway.server.start()
    port.set_result(gateway.server.port)
    await is_answering.wait()
    gateway.server.leave()
    await gateway.server.stop(STOP_GRACE_S)


# The stand-in of a target answers with the request's body.
ENTRY_REQUEST = (
    "PUT /kit/7 HTTP/1.1\r\nHost: rental.example\r\nFlamingoladder-Request-Id: q\r\n"
    f"Flamingoladder-Deadline-Ms: 4000\r\nX-Api-Key: k-turf\r\nContent-Length: {ANSWER_BYTES}\r\n"
    "\r\n"
).encode() + bytes(ANSWER_BYTES)
GATEWAY_REQUEST = (
    f"GET /services/desk/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode()
)


def missing_bytes(port: Future[int], request: bytes, on_head: Callable[[], object]) -> int:
    """Read an answer slowly, and return how many bytes of it never came."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.connect((LOOPBACK, port.result()))
    connection.sendall(request)
    connection.settimeout(SILENCE_S)
    received, missing, has_head = b"", 1, False
    try:
        while missing > 0 and (part := connection.recv(READ_BYTES)):
            received += part
            head, separator, body = received.partition(b"\r\n\r\n")
            if separator:
                if not has_head:
                    on_head()
                has_head = True
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
                missing = int(length) - len(body)
            time.sleep(len(part) / READ_PER_S)
    except OSError:
        pass
    finally:
        connection.close()
    return missing


@pytest.mark.parametrize(
    ("run_host", "request_bytes"),
    [(run_entry, ENTRY_REQUEST), (run_gateway, GATEWAY_REQUEST)],
    ids=["entry", "daemon"],
)
def test_a_stop_waits_for_answers_that_are_not_written_out(
    run_host: RunHost, request_bytes: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(daemon, "DEREGISTRATION_DELAY_S", 0.1)
    port: Future[int] = Future()

    async def play() -> None:
        loop = asyncio.get_running_loop()
        is_answering = asyncio.Event()

        def on_head() -> None:
            loop.call_soon_threadsafe(is_answering.set)

        results.append(callers.submit(missing_bytes, port, request_bytes, on_head))
        await run_host(port, is_answering)

    results: list[Future[int]] = []
    with ThreadPoolExecutor(1) as callers:
        asyncio.run(play())
    assert results[0].result() == 0
