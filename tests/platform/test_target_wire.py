"""Tests of requests to targets over real sockets, against answers of all kinds."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from math import inf
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack
from typing import TYPE_CHECKING

import pytest
from reactivex import Subject

from flamingoladder.entry.request import IncomingRequest
from flamingoladder.entry.request import RoutedRequest
from flamingoladder.entry.results import SendStatus
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.platform.target_wire import PlatformTargets
from flamingoladder.routing.model import Workspace
from flamingoladder.targets.notices import LoadReport
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.rate_limit import NO_RATE_LIMIT
from flamingoladder.targets.rate_limit import RateLimitNotice
from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.state import TargetState
from flamingoladder.verdict import Header
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from tests.routing.test_model import route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from flamingoladder.entry.results import SendResult

ID = "9c41d07be2a35f68"
ECHO = f"Flamingoladder-Request-Id: {ID}\r\n"
SIGNED = ECHO + "Flamingoladder-Response-Signature: 3e1b\r\n"
LENGTH = "Content-Length: 5\r\n"
NOT_RUN = "Flamingoladder-Not-Executed: 1\r\n"
DATE = "Wed, 21 Oct 2026 07:28:00 GMT"
PATIENCE_S = 0.4
RESET_ON_CLOSE = pack("ii", 1, 0)


class RawTarget:
    """Answers each request with the next of ``replies``; ``reset`` ends the connection hard."""

    def __init__(self, *replies: str, reset: bool = False, close: bool = False) -> None:
        self.replies = list(replies)
        self.reset = reset
        self.close = close
        self.pause_s = 0.0
        self.heads: list[str] = []
        self.connections = 0

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[TargetState]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        record = TargetRecord(
            target_id="i-1",
            service="s",
            address=f"{host}:{port}",
            failure_domain="d",
            slots=3,
            draining=False,
            slow_start_s=0.0,
        )
        try:
            yield TargetState(record, "r", 0.0)
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while self.replies:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            self.heads.append(head.decode())
            await asyncio.sleep(self.pause_s)
            writer.write(self.replies.pop(0).encode())
            await writer.drain()
            if self.reset:
                await asyncio.sleep(0.02)
                socket = writer.get_extra_info("socket")
                socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
                return
            if self.close:
                break
        if self.close:
            writer.close()
        else:
            await reader.read()


def request(
    patience_s: float = PATIENCE_S, target_patience_s: float | None = None
) -> RoutedRequest:
    now = asyncio.get_running_loop().time()
    arrived = IncomingRequest(
        request_id=ID,
        method="GET",
        host="a.example",
        path="/kit/%2e/7?x=%20",
        headers=(Header("Host", "a.example"), Header("Flamingoladder-Request-Id", ID)),
        body=b"",
        keys=("secret",),
        affinity_key="17",
        caller_timeout_s=patience_s,
    )
    return RoutedRequest(
        incoming=arrived,
        route=route("r", "/"),
        service="s",
        workspace=Workspace(name="turf", rate_per_s=0.0, burst=0.0),
        regions=None,
        started=now,
        admission_deadline=inf,
        deadline=now + patience_s,
        target_deadline=now + (target_patience_s or patience_s),
        fingerprints=(1,),
    )


async def send_once(raw: RawTarget) -> SendResult:
    wire = targets_client()
    async with raw.serving() as target:
        try:
            return await wire.send(request(), target)
        finally:
            await wire.close()


def _send_always(request: RoutedRequest, target: TargetState, now: float) -> Refusal | None:
    return None


def targets_client(
    connections: int = 8,
    refusal_of: Callable[[RoutedRequest, TargetState, float], Refusal | None] = _send_always,
) -> PlatformTargets:
    return PlatformTargets(Subject(), lambda _: connections, refusal_of, MemoryBudget())


def reply(head: str, body: str = "hello", status: str = "200 OK") -> str:
    return f"HTTP/1.1 {status}\r\n{head}\r\n{body}"


@pytest.mark.parametrize(
    ("text", "end", "may_have_run"),
    [
        (reply(SIGNED + LENGTH), SendStatus.ANSWERED, True),
        (reply(ECHO + LENGTH), SendStatus.FAILED, True),
        (reply(LENGTH), SendStatus.CONNECTION_LOST, True),
        (reply(SIGNED.replace(ID, "another") + LENGTH), SendStatus.CONNECTION_LOST, True),
        (reply(SIGNED + "Content-Length: 9\r\n"), SendStatus.TIMEOUT, True),
        ("no answer at all\r\n\r\n", SendStatus.CONNECTION_LOST, True),
        (reply(SIGNED + LENGTH, status="500 Oops"), SendStatus.FAILED, True),
        (reply(ECHO + LENGTH, status="503 Busy"), SendStatus.FAILED, True),
        (reply(ECHO + LENGTH + NOT_RUN, status="503 Busy"), SendStatus.NOT_RUN, False),
        (reply(ECHO + LENGTH + NOT_RUN, status="429 Many"), SendStatus.NOT_RUN, False),
        (reply(ECHO + LENGTH, status="421 Other"), SendStatus.MISDIRECTED, False),
    ],
)
async def test_what_an_answer_says(text: str, end: SendStatus, may_have_run: bool) -> None:
    result = await send_once(RawTarget(text))
    assert (result.status, result.may_have_run) == (end, may_have_run)


@pytest.mark.parametrize("status", ["503 Busy", "429 Many", "408 Late"])
async def test_a_status_that_promises_is_not_passed_on_without_the_marker(status: str) -> None:
    result = await send_once(RawTarget(reply(SIGNED + LENGTH, status=status)))
    assert result.answer is None
    assert result.may_have_run


@pytest.mark.parametrize("head", [SIGNED, ECHO, SIGNED + NOT_RUN], ids=["signed", "bare", "marked"])
@pytest.mark.parametrize(
    "status",
    ["000 None", "001 One", "099 Below", "101 Switching Protocols", "600 Above", "999 Odd"],
)
async def test_a_status_that_no_final_answer_has_is_not_passed_on(status: str, head: str) -> None:
    """A target in trouble answered with status 000, and the caller got that as an answer."""
    wire = targets_client()
    raw = RawTarget(reply(head + LENGTH, status=status), reply(SIGNED + LENGTH))
    async with raw.serving() as target:
        first = await wire.send(request(), target)
        second = await wire.send(request(), target)
        await wire.close()
    assert (first.status, first.answer, first.may_have_run) == (SendStatus.FAILED, None, True)
    assert (second.status, raw.connections) == (SendStatus.ANSWERED, 2)


@pytest.mark.parametrize("status", [200, 203, 299, 304, 404, 451, 500, 504, 599])
async def test_a_final_status_is_passed_on_unchanged(status: int) -> None:
    body = "" if status == 304 else "hello"
    result = await send_once(RawTarget(reply(SIGNED + LENGTH, body, f"{status} Fine")))
    assert result.answer is not None
    assert (result.answer.status, result.answer.body.decode()) == (status, body)


@pytest.mark.parametrize("interim", ["100 Continue", "102 Processing", "103 Early Hints"])
async def test_an_interim_answer_goes_before_the_final_one(interim: str) -> None:
    texts = reply("", "", interim) + reply(SIGNED + LENGTH)
    result = await send_once(RawTarget(texts))
    assert result.answer is not None
    assert result.answer.body == b"hello"


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    result = await send_once(RawTarget(reply(SIGNED), close=True))
    assert result.answer is not None
    assert result.answer.body == b"hello"


async def test_an_answer_without_length_that_is_reset_is_not_whole() -> None:
    result = await send_once(RawTarget(reply(SIGNED), reset=True))
    assert (result.status, result.answer) == (SendStatus.CONNECTION_LOST, None)


async def test_a_refused_connection_ran_nothing() -> None:
    raw = RawTarget()
    async with raw.serving() as target:
        pass
    result = await targets_client().send(request(), target)
    assert (result.status, result.may_have_run) == (SendStatus.NO_CONNECTION, False)


async def test_a_request_reaches_the_target_unchanged_and_without_the_key() -> None:
    raw = RawTarget(reply(SIGNED + LENGTH))
    await send_once(raw)
    head = raw.heads[0]
    assert head.startswith("GET /kit/%2e/7?x=%20 HTTP/1.1\r\n")
    assert "Flamingoladder-Expect-Instance: i-1\r\n" in head
    assert "Flamingoladder-Tenant-Id: turf\r\n" in head
    assert "secret" not in head


@pytest.mark.parametrize("size", [5, 5_000, 300_000])
async def test_an_answer_that_nobody_asked_for_reaches_no_request(size: int) -> None:
    wire = targets_client()
    other = reply(f"{SIGNED}Content-Length: {size}\r\n", "x" * size)
    raw = RawTarget(reply(SIGNED + LENGTH) + other, reply(SIGNED + LENGTH))
    async with raw.serving() as target:
        first = await wire.send(request(), target)
        await asyncio.sleep(0.05)
        raw.replies = [reply(SIGNED + LENGTH)]
        second = await wire.send(request(), target)
        await wire.close()
    assert [result.answer.body for result in (first, second) if result.answer] == [b"hello"] * 2


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,2,8", LoadReport(3, 2, 8)),
        ("3, 2, 8, 130", LoadReport(3, 2, 8, 130.0)),
        ("3,2,8,99.5", LoadReport(3, 2, 8, 99.5)),
        ("3,2,8,130,7", LoadReport(3, 2, 8, 130.0)),
        ("3,2,8,fast", LoadReport(3, 2, 8, None, 1, "3,2,8,fast")),
        ("3,2,8,0", LoadReport(3, 2, 8, None, 1, "3,2,8,0")),
        ("3,2,8,nan", LoadReport(3, 2, 8, None, 1, "3,2,8,nan")),
        ("3,-2,8,130", LoadReport(3, None, 8, 130.0, 1, "3,-2,8,130")),
        ("1e9,2", LoadReport(None, 2, None, None, 2, "1e9,2")),
        ("9999999999,2,8", LoadReport(None, 2, 8, None, 1, "9999999999,2,8")),
    ],
)
async def test_the_load_of_the_target_is_read(value: str, load: LoadReport) -> None:
    """A fourth figure once dropped the whole report, so that hosts saw no load at all."""
    head = f"Flamingoladder-Server-Load: {value}\r\n"
    result = await send_once(RawTarget(reply(SIGNED + head + LENGTH)))
    assert result.notice is not None
    assert result.notice.load == load


@pytest.mark.parametrize(
    ("head", "notice"),
    [
        ("Flamingoladder-Server-Limit: 2.9\r\n", RateLimitNotice(2.9)),
        ("Server-Limit: 2\r\n", RateLimitNotice(2.0)),
        ("server-limit: 0\r\n", RateLimitNotice(0.0)),
        ("Server-Limit: -1\r\n", RateLimitNotice(None, unreadable="-1")),
        ("Server-Limit: nan\r\n", RateLimitNotice(None, unreadable="nan")),
        ("Server-Limit: soon\r\n", RateLimitNotice(None, unreadable="soon")),
        ("", NO_RATE_LIMIT),
    ],
)
async def test_the_rate_limit_of_the_target_is_read(head: str, notice: RateLimitNotice) -> None:
    result = await send_once(RawTarget(reply(SIGNED + head + LENGTH)))
    assert result.notice is not None
    assert result.notice.rate_limit == notice


@pytest.mark.parametrize(
    ("head", "status", "notice"),
    [
        (ECHO + NOT_RUN + "Server-Limit: 2\r\n", "503 Full", RateLimitNotice(2.0)),
        (ECHO + NOT_RUN, "503 Full", None),
        (ECHO + "Server-Limit: 2\r\n", "421 Misdirected", None),
    ],
)
async def test_only_the_targets_own_answer_tells_of_its_rate_limit(
    head: str, status: str, notice: RateLimitNotice | None
) -> None:
    result = await send_once(RawTarget(reply(head + LENGTH, status=status)))
    found = None if result.notice is None else result.notice.rate_limit
    assert found == notice


@pytest.mark.parametrize(
    ("status", "named", "leaving"),
    [
        ("200 OK", "Server-Leaving: 1\r\n", True),
        ("200 OK", "Flamingoladder-Server-Leaving: 1\r\n", True),
        ("200 OK", "", False),
        ("200 OK", "Server-Leaving: 0\r\n", False),
        ("500 Oops", "Server-Leaving: 1\r\n", True),
        ("404 Gone", "server-leaving: 1\r\n", True),
        ("503 Busy", "Server-Leaving: 1\r\n", True),
        ("421 Misdirected", "Server-Leaving: 1\r\n", False),
    ],
)
async def test_a_target_that_leaves_is_read_from_its_own_answers(
    status: str, named: str, *, leaving: bool
) -> None:
    result = await send_once(RawTarget(reply(SIGNED + named + LENGTH, status=status)))
    assert (result.notice is not None and result.notice.leaving) == leaving


async def test_an_answer_to_another_request_tells_nothing() -> None:
    crossed = f"Flamingoladder-Request-Id: other\r\nServer-Leaving: 1\r\n{LENGTH}"
    result = await send_once(RawTarget(reply(crossed)))
    assert result.notice is None


@pytest.mark.parametrize(
    ("status", "named", "pause"),
    [
        ("503 Busy", "Retry-After: 5\r\n", PauseNotice(5.0)),
        ("503 Busy", "Retry-After: 0.75\r\n", PauseNotice(0.75)),
        ("503 Busy", "Retry-After: 0\r\n", PauseNotice(0.0)),
        ("503 Busy", "Retry-After: 1e9\r\n", PauseNotice(1e9)),
        ("503 Busy", "Retry-After: -1\r\n", PauseNotice(0.0, unreadable="-1")),
        ("503 Busy", "Retry-After: nan\r\n", PauseNotice(0.0, unreadable="nan")),
        ("503 Busy", "Retry-After: inf\r\n", PauseNotice(0.0, unreadable="inf")),
        ("503 Busy", f"Retry-After: {DATE}\r\n", PauseNotice(0.0, unreadable=DATE[:40])),
        ("503 Busy", "", None),
        ("429 Slow", "Retry-After: 5\r\n", None),
        ("200 OK", "Retry-After: 5\r\n", None),
    ],
)
@pytest.mark.parametrize("marker", ["", NOT_RUN])
async def test_a_pause_is_read_from_a_503(
    status: str, named: str, pause: PauseNotice | None, marker: str
) -> None:
    result = await send_once(RawTarget(reply(ECHO + marker + named + LENGTH, status=status)))
    assert result.notice is not None
    assert result.notice.pause == pause
    assert result.may_have_run == (marker == "")


@pytest.mark.parametrize(
    ("head", "status", "healthy", "cold_s"),
    [
        ("Flamingoladder-Instance-Id: i-1\r\n", "200 OK", True, 0.0),
        (
            "Flamingoladder-Instance-Id: i-1\r\nFlamingoladder-Warmup-Ms: 1500\r\n",
            "200 OK",
            True,
            1.5,
        ),
        ("Flamingoladder-Instance-Id: i-2\r\n", "200 OK", False, 0.0),
        ("Flamingoladder-Instance-Id: i-1\r\n", "503 Draining", False, 0.0),
        ("", "200 OK", False, 0.0),
    ],
)
async def test_a_probe_knows_its_target(
    head: str, status: str, healthy: bool, cold_s: float
) -> None:
    wire = targets_client()
    async with RawTarget(reply(head + LENGTH, status=status)).serving() as target:
        result = await wire.probe(target, "/healthz", PATIENCE_S)
    assert (result.healthy, result.slow_start_s) == (healthy, cold_s)


async def test_a_request_without_a_connection_has_not_run_when_its_answer_is_due() -> None:
    """The route's time ends before the caller's; the target's only connection is in use."""
    wire = targets_client(1)
    loop = asyncio.get_running_loop()
    async with RawTarget("").serving() as target:
        holding = asyncio.create_task(wire.send(request(10 * PATIENCE_S), target))
        await asyncio.sleep(PATIENCE_S / 4)
        waiting = request(PATIENCE_S, target_patience_s=10 * PATIENCE_S)
        result = await wire.send(waiting, target)
        ended_at = loop.time()
        holding.cancel()
        await wire.close()
    assert (result.status, result.may_have_run) == (SendStatus.NO_CONNECTION, False)
    assert ended_at < waiting.deadline


async def test_a_request_is_not_sent_if_that_was_refused_while_it_waited_for_a_connection() -> None:
    """It was sent to targets that had left, and with keys that had been withdrawn."""
    left = Refusal.not_run(Reason.UPSTREAM_UNREACHABLE, "the target left")
    refusals: list[Refusal] = []
    wire = targets_client(1, lambda *_: next(iter(refusals), None))
    raw = RawTarget(reply(SIGNED + LENGTH), reply(SIGNED + LENGTH))
    raw.pause_s = PATIENCE_S / 4
    async with raw.serving() as target:
        first = asyncio.create_task(wire.send(request(), target))
        await asyncio.sleep(PATIENCE_S / 8)
        second = asyncio.create_task(wire.send(request(), target))
        await asyncio.sleep(0)
        refusals.append(left)
        assert (await first).status is SendStatus.ANSWERED
        result = await second
        await wire.close()
    assert (result.status, result.refusal) == (SendStatus.REFUSED, left)
    assert not result.may_have_run
    assert len(raw.heads) == 1


async def test_a_request_with_a_connection_runs_on_after_its_answer_was_due() -> None:
    raw = RawTarget(reply(SIGNED + LENGTH))
    wire = targets_client(1)
    loop = asyncio.get_running_loop()
    async with raw.serving() as target:
        sent = request(0.05, target_patience_s=10 * PATIENCE_S)
        raw.pause_s = PATIENCE_S
        result = await wire.send(sent, target)
        assert loop.time() > sent.deadline
        await wire.close()
    assert result.status is SendStatus.ANSWERED
