"""Tests of the gateway server with fake stages."""

from __future__ import annotations

import asyncio
import socket

import msgspec
import pytest

from flamingoladder.gateway import server
from flamingoladder.steering.lookup import LookupAnswer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.gateway.fakes import running_gateway
from tests.gateway.states import KEY
from tests.gateway.states import OTHER_KEY
from tests.gateway.states import FixedState
from tests.gateway.states import agreed

BOOKING = {"Idempotency-Key": "b1"}


async def test_answer_is_returned_whole_with_its_verdict() -> None:
    async with running_gateway() as gateway:
        reply = await gateway.send("/services/desk/items/7?size=2")
        assert reply.status == 200
        assert reply.body == b"/items/7?size=2"
        assert reply.verdict == Verdict.RAN
        assert reply.headers["X-Kind"] == "echo"
        assert reply.headers["X-Request-Id"] == gateway.dispatcher.requests[0].request_id


@pytest.mark.parametrize(
    ("path", "method", "key", "headers", "reason"),
    [
        ("/services/none/x", "GET", KEY, {}, Reason.UNKNOWN_SERVICE),
        ("/services/desk/x", "DELETE", KEY, {}, Reason.UNKNOWN_ROUTE),
        ("/services/desk/x", "GET", None, {}, Reason.KEY_MISSING),
        ("/services/desk/x", "GET", "guess", {}, Reason.KEY_UNKNOWN),
        ("/services/desk/x", "GET", None, {"Authorization": "Basic eA=="}, Reason.BAD_REQUEST),
        ("/services/desk/bookings", "POST", KEY, {}, Reason.IDEMPOTENCY_KEY_MISSING),
        ("/services/desk/bookings", "POST", KEY, {"Idempotency-Key": "a b"}, Reason.BAD_REQUEST),
        ("/services/desk/x", "GET", KEY, {"Flamingoladder-Deadline-Ms": "-1"}, Reason.BAD_REQUEST),
        (
            "/services/desk/x",
            "GET",
            KEY,
            {"Flamingoladder-Deadline-Ms": "0"},
            Reason.DEADLINE_PASSED,
        ),
        (f"/services/desk/x?k={KEY}", "GET", KEY, {}, Reason.BAD_REQUEST),
        ("/services/desk/bookings", "POST", KEY, {"Idempotency-Key": KEY}, Reason.BAD_REQUEST),
        ("/services/desk/x", "GET", KEY, {"X-Pad": "p" * 20_000}, Reason.HEADERS_TOO_LARGE),
    ],
)
async def test_bad_request_is_refused_before_admission(
    path: str, method: str, key: str | None, headers: dict[str, str], reason: Reason
) -> None:
    async with running_gateway() as gateway:
        reply = await gateway.send(path, method, key, headers=headers)
        assert (reply.refusal.reason, reply.refusal.verdict) == (reason, Verdict.NOT_RUN)
        assert reply.headers["Flamingoladder-Reason"] == reason
        assert gateway.dispatcher.requests == []


async def test_refusal_of_a_too_large_body_names_limit_and_setting() -> None:
    async with running_gateway(FixedState(agreed(max_body_bytes=100))) as gateway:
        reply = await gateway.send(
            "/services/desk/bookings", "POST", data=b"x" * 101, headers=BOOKING
        )
        assert reply.status == 413
        assert "100 bytes (setting defaults.max_body_bytes)" in reply.refusal.detail


async def test_without_proof_only_open_routes_are_served_and_refusals_name_other_hosts() -> None:
    async with running_gateway() as gateway:
        gateway.state.proof = False
        reply = await gateway.send("/services/desk/x")
        assert reply.refusal.reason is Reason.NO_PROOF
        assert reply.refusal.hosts == ("http://h2", "http://h3")
        assert (await gateway.send("/services/desk/open/x", key=None)).status == 200


async def test_request_is_refused_if_its_key_is_withdrawn_during_admission() -> None:
    async with running_gateway() as gateway:
        gateway.admission.gate.opened.clear()
        sent = asyncio.create_task(gateway.send("/services/desk/x"))
        await gateway.admission.gate.reached.wait()
        withdrawn = [
            msgspec.structs.replace(grant, withdrawn=True) for grant in gateway.state.current.grants
        ]
        gateway.state.set(grants=tuple(withdrawn))
        gateway.admission.gate.opened.set()
        assert (await sent).refusal.reason is Reason.KEY_WITHDRAWN
        assert gateway.dispatcher.requests == []


async def test_headers_with_the_key_are_not_forwarded() -> None:
    headers = {
        "Cookie": f"a=1; key={KEY}",
        "X-Fine": "1",
        "Flamingoladder-Workspace": "ferry-camp",
        "X-Copy": KEY.replace("-", "%2D"),
        "Connection": "X-Hop",
        "X-Hop": "1",
    }
    async with running_gateway() as gateway:
        await gateway.send("/services/desk/x", headers=headers)
        [request] = gateway.dispatcher.requests
        names = {header.name for header in request.headers}
        assert "X-Fine" in names
        dropped = {"Authorization", "Cookie", "X-Copy", "Connection", "X-Hop", "Host"}
        assert not names & (dropped | {"Flamingoladder-Workspace"})


async def test_exception_in_a_stage_fails_only_its_own_request() -> None:
    async with running_gateway() as gateway:
        replies = await asyncio.gather(
            *(gateway.send(f"/services/desk/{name}") for name in ("fault", "x", "y"))
        )
        assert [reply.status for reply in replies] == [500, 200, 200]
        assert replies[0].refusal.verdict is Verdict.MAY_HAVE_RUN


async def test_non_idempotent_request_completes_after_its_caller_disconnects() -> None:
    async with running_gateway() as gateway:
        gateway.dispatcher.gate.opened.clear()
        sent = asyncio.create_task(gateway.send("/services/desk/bookings", "POST", headers=BOOKING))
        await gateway.dispatcher.gate.reached.wait()
        sent.cancel()
        await asyncio.sleep(0.05)
        gateway.dispatcher.gate.opened.set()
        reply = await gateway.send("/v1/outcomes/b1")
        async with asyncio.timeout(2.0):
            while reply.verdict == Verdict.NOT_RUN:
                reply = await gateway.send("/v1/outcomes/b1")
        assert reply.body == b"/bookings"
        assert (await gateway.send("/v1/outcomes/b1", key=OTHER_KEY)).status != 200


async def test_stop_finishes_requests_in_flight_and_refuses_new_ones() -> None:
    async with running_gateway() as gateway:
        gateway.dispatcher.gate.opened.clear()
        sent = asyncio.create_task(gateway.send("/services/desk/x"))
        await gateway.dispatcher.gate.reached.wait()
        stopped = asyncio.create_task(gateway.server.stop(5.0))
        await asyncio.sleep(0)
        late = await gateway.send("/services/desk/y")
        assert (late.refusal.reason, late.refusal.verdict) == (Reason.HOST_LEAVING, Verdict.NOT_RUN)
        gateway.dispatcher.gate.opened.set()
        assert (await sent).body == b"/x"
        assert await stopped


async def test_lookup_ticket_and_health_paths_respond() -> None:
    async with running_gateway() as gateway:
        answer = msgspec.json.decode(
            (await gateway.send("/v1/lookup?service=desk")).body, type=LookupAnswer
        )
        assert [host.host for host in answer.hosts] == ["h1", "h3", "h2"]
        assert (answer.plan_version, answer.lifetime_s) == (1, 5.0)
        assert (
            await gateway.send("/v1/lookup?service=none")
        ).refusal.reason is Reason.UNKNOWN_SERVICE
        assert (
            await gateway.send("/v1/tickets", "POST")
        ).body == b'{"ticket":"ticket-midnight-sun"}'
        assert (await gateway.send("/v1/tickets", "POST", key=None)).status == 401
        assert (await gateway.send("/health/ready")).status == 200
        gateway.state.proof = False
        assert (await gateway.send("/health/ready")).status == 503
        assert (await gateway.send("/health/live")).status == 200


async def test_refused_outcome_query_has_verdict_may_have_run() -> None:
    async with running_gateway() as gateway:
        refused = [await gateway.send("/v1/outcomes/b1", key=key) for key in (None, "guess")]
        gateway.state.proof = False
        refused.append(await gateway.send("/v1/outcomes/b1"))
        assert [reply.verdict for reply in refused] == [Verdict.MAY_HAVE_RUN] * 3


async def test_leaving_host_keeps_serving_but_is_not_ready_and_closes_connections() -> None:
    async with running_gateway() as gateway:
        gateway.server.leave()
        assert (await gateway.send("/health/ready")).status == 503
        reply = await gateway.send("/services/desk/x")
        assert (reply.verdict, reply.headers["Connection"]) == (Verdict.RAN, "close")


async def test_stop_waits_for_a_caller_that_reads_slowly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "CLOSE_TIMEOUT_S", 0.01)
    size = 16_000_000
    async with running_gateway() as gateway:
        gateway.dispatcher.answer_bytes = size
        slow = socket.create_connection(("127.0.0.1", gateway.server.port))
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262_144)
        reader, writer = await asyncio.open_connection(sock=slow, limit=65_536)
        lines = ("GET /services/desk/x HTTP/1.1", "Host: h", f"Authorization: Bearer {KEY}", "", "")
        writer.write("\r\n".join(lines).encode())
        head = await reader.readuntil(b"\r\n\r\n")
        stopped = asyncio.create_task(gateway.server.stop(30.0))
        await asyncio.sleep(0.3)
        assert not stopped.done()
        body = await reader.read()
        assert f"content-length: {size}" in head.decode().lower()
        assert len(body) == size
        assert await stopped
        writer.close()
