"""Tests of the upstream stand-in over real sockets."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest
import pytest_asyncio

from flamingoladder.standins.control import UpstreamControl
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.upstream import UpstreamTarget
from flamingoladder.standins.upstream_messages import Control
from flamingoladder.standins.upstream_messages import RunState
from flamingoladder.standins.upstream_messages import ServiceTime
from flamingoladder.standins.upstream_messages import UpstreamSettings
from flamingoladder.standins.upstream_runs import RunLog
from flamingoladder.standins.upstream_server import UpstreamServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

ADDRESS = "127.0.0.1"
LONG_RUN = {"X-Standin-Delay-Ms": "60000"}
GIVE_UP_S = 0.1
PATIENCE_S = 10.0


class Upstream(UpstreamControl):
    """A target with two slots and a queue of one, and a client."""

    __slots__ = ("_callers", "url")

    def __init__(self, url: str, callers: aiohttp.ClientSession) -> None:
        super().__init__(url)
        self.url = url
        self._callers = callers

    async def get(self, path: str, headers: Mapping[str, str] | None = None) -> tuple[int, bytes]:
        """Return status and body of a request."""
        async with self._callers.get(self.url + path, headers=headers) as response:
            return response.status, await response.read()

    async def until_up(self) -> None:
        """Wait until the target accepts connections."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                with suppress(aiohttp.ClientConnectorError):
                    await self.load()
                    return
                await asyncio.sleep(0.02)

    async def until(self, states: list[RunState]) -> None:
        """Wait until the runs are in these states."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                if [run.state for run in (await self.runs()).runs] == states:
                    return
                await asyncio.sleep(0.005)


@pytest_asyncio.fixture
async def upstream() -> AsyncIterator[Upstream]:
    settings = UpstreamSettings(slots=2, queue=1, service_ms=0, crash_down_s=0.5, connections=5)
    now = asyncio.get_running_loop().time()
    target = UpstreamTarget("catalogue-01", settings, Random(1), now)
    server = UpstreamServer(target, RunLog(), ADDRESS, 0)
    await server.start()
    async with aiohttp.ClientSession() as session:
        yield Upstream(server.server.url, session)
    await server.stop()


async def test_an_answer_carries_its_request_id_and_the_run_is_on_record(
    upstream: Upstream,
) -> None:
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1", "X-Standin-Body-Bytes": "5"}
    assert await upstream.get("/book/3", headers) == (HTTPStatus.OK, b"r1r1r")
    assert (await upstream.runs()).authorization_seen is False
    await upstream.get("/book/4", {"X-Request-Id": "r2", "Authorization": "Bearer secret"})
    report = await upstream.runs(idempotency_key="k1")
    assert [(run.request_id, run.target, run.path) for run in report.runs] == [
        ("r1", "catalogue-01", "/book/3")
    ]
    assert report.runs[0].state == RunState.COMPLETED
    assert report.authorization_seen
    assert "idempotency-key" in report.header_names
    assert b"secret" not in msgspec.json.encode(report)


async def test_work_beyond_slots_and_queue_is_turned_away_and_does_not_run(
    upstream: Upstream,
) -> None:
    running = [asyncio.create_task(upstream.get("/a", LONG_RUN)) for _ in range(2)]
    await upstream.until([RunState.RUNNING] * 2)
    more = [asyncio.create_task(upstream.get(path)) for path in ("/b", "/c")]
    shed, queued = await asyncio.wait(more, return_when=asyncio.FIRST_COMPLETED)
    assert [task.result()[0] for task in shed] == [HTTPStatus.SERVICE_UNAVAILABLE]
    report = await upstream.runs()
    assert [run.path for run in report.runs] == ["/a", "/a"]
    assert report.turned_away == 1
    running[0].cancel()
    assert [(await task)[0] for task in queued] == [HTTPStatus.OK]
    await upstream.until([RunState.CANCELLED, RunState.RUNNING, RunState.COMPLETED])


async def test_a_draining_target_finishes_its_work_and_takes_no_more(upstream: Upstream) -> None:
    running = asyncio.create_task(upstream.get("/a", {"X-Standin-Delay-Ms": "100"}))
    await upstream.until([RunState.RUNNING])
    await upstream.control(Control(draining=True))
    assert (await upstream.get("/health"))[0] == HTTPStatus.SERVICE_UNAVAILABLE
    assert (await upstream.get("/b"))[0] == HTTPStatus.SERVICE_UNAVAILABLE
    assert (await running)[0] == HTTPStatus.OK
    await upstream.control(Control(healthy=True))
    assert (await upstream.get("/health"))[0] == HTTPStatus.OK


@pytest.mark.parametrize(
    ("deadline_ms", "states"), [("20", [RunState.DEADLINE]), ("0", []), ("60000", None)]
)
async def test_work_past_its_deadline_is_abandoned(
    upstream: Upstream, deadline_ms: str, states: list[RunState] | None
) -> None:
    headers = {"Flamingoladder-Deadline-Ms": deadline_ms}
    if states is None:
        assert (await upstream.get("/a", headers))[0] == HTTPStatus.OK
        return
    status, _ = await upstream.get("/a", headers | LONG_RUN)
    assert status == HTTPStatus.GATEWAY_TIMEOUT
    assert [run.state for run in (await upstream.runs()).runs] == states


async def test_a_marked_request_crashes_the_target_which_comes_back(upstream: Upstream) -> None:
    running = asyncio.create_task(upstream.get("/a", LONG_RUN))
    await upstream.until([RunState.RUNNING])
    with pytest.raises(aiohttp.ClientError):
        await upstream.get("/b", {"X-Standin-Crash": "1"})
    with pytest.raises(aiohttp.ClientError):
        await running
    with pytest.raises(aiohttp.ClientConnectorError):
        await upstream.get("/health")
    await upstream.until_up()
    assert (await upstream.get("/c"))[0] == HTTPStatus.OK
    await upstream.until([RunState.CRASHED, RunState.CRASHED, RunState.COMPLETED])


async def test_silence_hangs_open_connections_and_spares_new_ones(upstream: Upstream) -> None:
    running = asyncio.create_task(upstream.get("/a", {"X-Standin-Delay-Ms": "50"}))
    await upstream.until([RunState.RUNNING])
    await upstream.control(Control(silence=True))
    await upstream.until([RunState.COMPLETED])
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(running, GIVE_UP_S)
    assert (await upstream.get("/b"))[0] == HTTPStatus.OK


async def test_a_request_on_a_silent_connection_does_not_run(upstream: Upstream) -> None:
    assert (await upstream.get("/a"))[0] == HTTPStatus.OK
    await upstream.control(Control(silence=True))
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(upstream.get("/b"), GIVE_UP_S)
    assert [run.path for run in (await upstream.runs()).runs] == ["/a"]


async def test_connections_beyond_the_limit_are_closed(upstream: Upstream) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def ask() -> int:
            async with session.post(upstream.url, headers={"X-Standin-Delay-Ms": "50"}) as response:
                return response.status

        results = await asyncio.gather(*(ask() for _ in range(7)), return_exceptions=True)
    assert sum(isinstance(result, aiohttp.ClientError) for result in results) == 2
    report = await upstream.runs()
    assert (len(report.runs) + report.turned_away, report.peak_connections) == (5, 7)


def _target(settings: UpstreamSettings) -> UpstreamTarget:
    return UpstreamTarget("catalogue-01", settings, Random(1), 100.0)


@pytest.mark.parametrize(
    ("now", "service_s"), [(100.0, 0.05), (105.0, 0.03), (110.0, 0.01), (200.0, 0.01)]
)
def test_a_cold_target_is_slow_and_warms_up(now: float, service_s: float) -> None:
    target = _target(UpstreamSettings(service_ms=10, cold_factor=5, ramp_s=10))
    assert target.service_time_s(now) == pytest.approx(service_s)


def test_load_reports_can_lag_and_lie() -> None:
    async def scenario() -> list[int]:
        target = UpstreamTarget("catalogue-01", UpstreamSettings(), Random(1), 0.0)
        await asyncio.sleep(1.0)
        async with target.slot():
            await asyncio.sleep(1.0)
            controls = [
                Control(),
                Control(load_lag_s=0.9),
                Control(load_lag_s=1.1),
                Control(reported_in_progress=3),
                Control(reported_in_progress=None),
            ]
            return [_reported(target, control) for control in controls]

    assert run_on_injected_time(scenario()) == [1, 1, 0, 3, 0]


def _reported(target: UpstreamTarget, control: Control) -> int:
    now = asyncio.get_running_loop().time()
    target.control(control, now)
    return target.load(now).in_progress


def test_random_service_times_repeat_with_their_seed() -> None:
    settings = UpstreamSettings(service_ms=10, service_time=ServiceTime.EXPONENTIAL)
    first, second = _target(settings), _target(settings)
    times_s = [first.service_time_s(200.0) for _ in range(5_000)]
    assert times_s == [second.service_time_s(200.0) for _ in range(5_000)]
    assert sum(times_s) / len(times_s) == pytest.approx(0.01, rel=0.1)
