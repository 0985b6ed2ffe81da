"""End-to-end tests with stand-ins: callers, three entry hosts, store and targets."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import pytest
from yarl import URL

from flamingoladder.entry.daemon import EntryHost
from flamingoladder.platform.standins.deployment import LocalPlatform
from flamingoladder.platform.standins.deployment import local_platform
from flamingoladder.standins.platform import FaultSettings
from tests.waiting import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from flamingoladder.platform.standins.targets import StandinTarget

DRAIN_S = 2.5
PAUSE_S = 4.0
KEYS = {"turf": ["k-turf"], "moss": ["k-moss", "k-moss-2"]}


class Caller:
    """Sends requests to the hosts in turn."""

    def __init__(self, platform: LocalPlatform) -> None:
        self._platform = platform
        self._session = aiohttp.ClientSession()
        self.sent = 0

    async def send(
        self,
        path: str,
        *,
        key: str | None = "k-turf",
        method: str = "GET",
        body: bytes | None = None,
        host: int | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes, str | None]:
        """Return status, body and signature."""
        number = self.sent if host is None else host
        urls = self._platform.caller_urls
        self.sent += 1
        fields = {
            "Host": "rental.example",
            "Flamingoladder-Request-Id": f"r-{self.sent}",
            "Cookie": f"Flamingoladder-Affinity-Key={self.sent % 5}",
            "Flamingoladder-Deadline-Ms": "2000",
            **({} if key is None else {"X-Api-Key": key}),
            **(headers or {}),
        }
        url = urls[number % len(urls)] + path
        async with self._session.request(method, url, data=body, headers=fields) as response:
            signature = response.headers.get("Flamingoladder-Response-Signature")
            return response.status, await response.read(), signature

    async def close(self) -> None:
        await self._session.close()


@pytest.fixture
async def platform() -> AsyncIterator[LocalPlatform]:
    async with local_platform(Random(), KEYS) as found:
        yield found


@pytest.fixture
async def caller(platform: LocalPlatform) -> AsyncIterator[Caller]:
    found = Caller(platform)
    yield found
    await found.close()


async def test_request_runs_once_for_workspace_of_its_key(
    platform: LocalPlatform, caller: Caller
) -> None:
    for number in range(12):
        status, body, signature = await caller.send(
            f"/bookings/{number}", method="POST", body=b"two tents"
        )
        assert (status, body) == (200, b"two tents")
        assert signature is not None
    assert sorted(platform.runs) == sorted(set(platform.runs))
    runs = [run for target in platform.targets for run in target.runs]
    assert {run.workspace for run in runs} == {"turf"}
    assert {run.key for run in runs} == {None}


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/kit/1", "k-moss", 200),
        ("/kit/1", None, 401),
        ("/kit/1", "stolen", 401),
        ("/nowhere/1", "k-moss", 404),
    ],
)
async def test_status_by_route_and_key(
    platform: LocalPlatform, caller: Caller, path: str, key: str | None, status: int
) -> None:
    assert (await caller.send(path, key=key))[0] == status
    assert len(platform.runs) == (status == 200)


@pytest.mark.parametrize("path", ["/kit/1?", "/kit/a/b??", "/kit/?x=%2f", "/kit/a//b?c", "/kit/1"])
async def test_request_target_reaches_the_target_unchanged(
    platform: LocalPlatform, path: str
) -> None:
    """An empty query was dropped on the way."""
    url = URL(platform.caller_urls[0])
    reader, writer = await asyncio.open_connection(url.host, url.port)
    fields = ["Host: rental.example", "Flamingoladder-Request-Id: r-1", "X-Api-Key: k-turf"]
    writer.write("\r\n".join([f"GET {path} HTTP/1.1", *fields, "", ""]).encode())
    assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
    writer.close()
    await writer.wait_closed()
    runs = [run for target in platform.targets for run in target.runs]
    assert [run.path for run in runs] == [path]


async def test_forged_internal_headers_are_ignored(platform: LocalPlatform, caller: Caller) -> None:
    forged = {"Flamingoladder-Tenant-Id": "moss", "Flamingoladder-Expect-Instance": "i-none"}
    assert (await caller.send("/kit/1", headers=forged))[0] == 200
    assert [run.workspace for target in platform.targets for run in target.runs] == ["turf"]


async def test_all_hosts_reject_removed_key_and_accept_new_one(
    platform: LocalPlatform, caller: Caller
) -> None:
    await platform.configure(2, {"turf": ["k-new"], "moss": ["k-moss"]})
    for host in range(3):
        for _ in range(100):
            if (await caller.send("/kit/1", key="k-new", host=host))[0] == 200:
                break
            await asyncio.sleep(0.02)
        assert (await caller.send("/kit/1", key="k-turf", host=host))[0] == 401
        assert (await caller.send("/kit/1", key="k-new", host=host))[0] == 200


async def test_older_configuration_received_later_is_ignored(
    platform: LocalPlatform, caller: Caller
) -> None:
    await platform.configure(9, {"turf": ["k-new"]})
    await eventually(lambda: all(host.configuration_version == 9 for host in platform.hosts))
    await platform.configure(8, KEYS)
    await asyncio.sleep(0.1)
    assert (await caller.send("/kit/1", key="k-turf"))[0] == 401


async def test_draining_and_evacuated_targets_get_no_requests(
    platform: LocalPlatform, caller: Caller
) -> None:
    drained, *_ = [target for target in platform.targets if target.service == "catalogue"]
    await drained.drain(platform.store)
    await platform.store.write("op", "evacuate/south-a", b"{}")
    await asyncio.sleep(0.2)
    for target in platform.targets:
        target.runs.clear()
    for number in range(30):
        assert (await caller.send(f"/kit/{number}"))[0] == 200
    names = {target for _, target in platform.runs}
    assert names == {"i-catalogue-2"}


async def test_requests_are_served_while_store_is_unavailable(
    platform: LocalPlatform, caller: Caller
) -> None:
    platform.state.faults = FaultSettings(refuse=True)
    for number in range(30):
        assert (await caller.send(f"/kit/{number}"))[0] == 200
    platform.state.faults = FaultSettings()


async def lookup_addresses(url: str) -> list[str] | None:
    """Return the addresses in a host's lookup answer, or None if it does not answer with 200."""
    lookup_url = f"{url}/-/resolve?name=rental.example&region=north&zone=north-a"
    async with aiohttp.ClientSession() as session, session.get(lookup_url) as response:
        return (await response.json())["addrs"] if response.status == 200 else None


async def test_host_without_configuration_is_not_in_lookups(
    platform: LocalPlatform,
) -> None:
    await platform.hosts[0].close()
    platform.state.faults = FaultSettings(refuse=True)
    platform.hosts[0] = EntryHost.from_config(platform.settings(0))
    await platform.hosts[0].start()
    assert await lookup_addresses(platform.lookup_urls[0]) is None
    platform.state.faults = FaultSettings()
    await eventually(lambda: platform.hosts[0].is_serving_with(2))
    own = platform.caller_urls[0].removeprefix("http://")
    assert own in (await lookup_addresses(platform.lookup_urls[0]) or ())


async def test_stopping_host_finishes_requests_and_leaves_lookups(
    platform: LocalPlatform, caller: Caller
) -> None:
    for target in platform.targets:
        target.work_s = 0.3
    in_flight = [asyncio.create_task(caller.send(f"/kit/{n}", host=0)) for n in range(6)]
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(platform.hosts[0].stop())
    assert [status for status, _, _ in await asyncio.gather(*in_flight)] == [200] * 6
    late = await caller.send("/kit/late", host=0)
    assert late[0] == 200
    for url in platform.lookup_urls:
        addresses = await lookup_addresses(url)
        assert addresses
        assert platform.caller_urls[0].removeprefix("http://") not in addresses
    await stopping


async def test_body_over_limit_is_refused(platform: LocalPlatform, caller: Caller) -> None:
    status, _, _ = await caller.send("/bookings/1", method="POST", body=b"x" * 70_000)
    assert status == 413
    assert platform.runs == []


async def test_header_fields_over_limit_are_refused(
    platform: LocalPlatform, caller: Caller
) -> None:
    fields = {f"X-Field-{number}": "x" * 4_000 for number in range(5)}
    status, _, _ = await caller.send("/kit/1", headers=fields)
    assert status == 431
    assert platform.runs == []


async def test_metrics_are_exposed_as_text(platform: LocalPlatform, caller: Caller) -> None:
    await caller.send("/kit/1", host=0)
    async with (
        aiohttp.ClientSession() as session,
        session.get(platform.metrics_urls[0]) as response,
    ):
        text = await response.text()
    assert 'flamingoladder_requests_total{status="200"} 1.0' in text
    assert 'flamingoladder_request_seconds_bucket{le="+Inf",route="read"} 1.0' in text


async def test_caller_disconnect_cancels_work_at_target(
    platform: LocalPlatform, caller: Caller
) -> None:
    for target in platform.targets:
        target.work_s = 0.5
    task = asyncio.create_task(caller.send("/kit/1"))
    await eventually(lambda: bool(platform.runs))
    task.cancel()
    await eventually(lambda: sum(target.running for target in platform.targets) == 0)


async def serve_for(caller: Caller, seconds: float) -> list[int]:
    """Send requests without a pause from nine callers; return the statuses."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    statuses: list[int] = []

    async def call(number: int) -> None:
        while loop.time() < until:
            path, method = (f"/bookings/{number}", "POST") if number % 3 == 0 else ("/kit/1", "GET")
            status, _, _ = await caller.send(path, method=method)
            statuses.append(status)
            await asyncio.sleep(0.05)

    await asyncio.gather(*(call(number) for number in range(9)))
    return statuses


def busiest(platform: LocalPlatform) -> StandinTarget:
    """Return the target with the most arrivals, so that its share of the load is certain."""
    return max(platform.targets, key=lambda target: len(target.arrivals))


async def test_a_target_that_says_that_it_leaves_gets_nothing_while_its_row_is_ready(
    platform: LocalPlatform, caller: Caller
) -> None:
    await serve_for(caller, 1.0)
    target = busiest(platform)
    target.says_leaving = True
    statuses = await serve_for(caller, DRAIN_S)
    arrived = len(target.arrivals)
    statuses += await serve_for(caller, 1.5)
    assert arrived > 0
    assert len(target.arrivals) == arrived
    assert set(statuses) == {200}


async def test_a_target_gets_nothing_in_the_pause_that_it_named_and_callers_notice_nothing(
    platform: LocalPlatform, caller: Caller
) -> None:
    await serve_for(caller, 1.0)
    target = busiest(platform)
    target.pause_until = asyncio.get_running_loop().time() + PAUSE_S
    statuses = await serve_for(caller, PAUSE_S / 4)
    arrived = len(target.arrivals)
    statuses += await serve_for(caller, PAUSE_S / 2)
    assert arrived > 0
    assert len(target.arrivals) == arrived
    assert set(statuses) == {200}
    await serve_for(caller, PAUSE_S / 4 + 1.0)
    assert len(target.arrivals) > arrived
