"""End-to-end tests from a caller's socket through the gateway to stand-ins for upstreams."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.config.model import Target
from flamingoladder.standins.upstream import UpstreamTarget
from flamingoladder.standins.upstream_messages import RunState
from flamingoladder.standins.upstream_messages import UpstreamSettings
from flamingoladder.standins.upstream_runs import RunLog
from flamingoladder.standins.upstream_server import UpstreamServer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.gateway.fakes import running_gateway
from tests.gateway.states import KEY
from tests.gateway.states import FixedState
from tests.gateway.states import agreed
from tests.upstreams.dispatcher_fixture import dispatcher_fixture

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.gateway.fakes import Gateway

BOOKING = {"Idempotency-Key": "b1"}
ONE_SLOT = UpstreamSettings(slots=1, queue=0, service_ms=1.0)


@asynccontextmanager
async def running_gateway_with_upstream() -> AsyncIterator[tuple[Gateway, RunLog]]:
    """Run a gateway with one upstream target that has one slot."""
    log = RunLog()
    target = UpstreamTarget("t1", ONE_SLOT, Random(1), asyncio.get_running_loop().time())
    upstream = UpstreamServer(target, log, "127.0.0.1", 0)
    await upstream.start()
    address = f"127.0.0.1:{upstream.server.port}"
    declared = Target(address=address, failure_domain="north-a", slots=1)
    state = FixedState(agreed({"t1": declared}))
    fixture = dispatcher_fixture(state)
    async with running_gateway(state, fixture.dispatcher) as gateway:
        try:
            yield gateway, log
        finally:
            await fixture.pools.close()
    await upstream.stop()


async def test_requests_run_at_the_upstream_without_the_key() -> None:
    async with running_gateway_with_upstream() as (gateway, log):
        cookies = {"Cookie": f"key={KEY}"}
        looked_up = await gateway.send("/services/desk/items/7", headers=cookies)
        assert (looked_up.status, looked_up.verdict) == (200, Verdict.RAN)
        booked = await gateway.send("/services/desk/bookings", "POST", headers=BOOKING, data=b"b")
        assert booked.verdict == Verdict.RAN
        report = log.report({})
        assert [run.path for run in report.runs] == ["/items/7", "/bookings"]
        assert not report.authorization_seen
        assert "cookie" not in report.header_names


async def test_request_is_refused_if_its_key_is_withdrawn_while_it_waits_for_a_slot() -> None:
    async with running_gateway_with_upstream() as (gateway, log):
        slow = {"X-Standin-Delay-Ms": "200"}
        first = asyncio.create_task(gateway.send("/services/desk/first", headers=slow))
        await _wait_until_running(log)
        second = asyncio.create_task(gateway.send("/services/desk/second"))
        await asyncio.sleep(0.05)
        grants = gateway.state.current.grants
        withdrawn = tuple(msgspec.structs.replace(grant, withdrawn=True) for grant in grants)
        gateway.state.set(grants=withdrawn)
        assert (await second).refusal.reason is Reason.KEY_WITHDRAWN
        assert (await first).verdict == Verdict.RAN
        assert [run.path for run in log.report({}).runs] == ["/first"]


async def test_head_and_large_answers_are_returned_whole() -> None:
    async with running_gateway_with_upstream() as (gateway, _):
        size = 3_000_000
        large = await gateway.send("/services/desk/x", headers={"X-Standin-Body-Bytes": str(size)})
        assert len(large.body) == size
        head = await gateway.send("/services/desk/open/x", "HEAD", headers={"X-Request-Id": "abc"})
        assert (head.status, head.body, head.headers["Content-Length"]) == (200, b"", "3")


async def test_caller_disconnect_cancels_only_idempotent_requests() -> None:
    slow = {"X-Standin-Delay-Ms": "300"}
    for method, path, end in (
        ("GET", "/services/desk/x", RunState.CANCELLED),
        ("POST", "/services/desk/bookings", RunState.COMPLETED),
    ):
        async with running_gateway_with_upstream() as (gateway, log):
            sent = asyncio.create_task(gateway.send(path, method, headers=BOOKING | slow))
            await _wait_until_running(log)
            sent.cancel()
            await _wait_for_state(log, end)


async def _wait_until_running(log: RunLog) -> None:
    await _wait_for_state(log, RunState.RUNNING)


async def _wait_for_state(log: RunLog, state: RunState) -> None:
    async with asyncio.timeout(2.0):
        while True:
            if [run.state for run in log.report({}).runs] == [state]:
                return
            await asyncio.sleep(0.001)
