"""Tests of the object store and the host list against the stand-in."""

from __future__ import annotations

import pytest

from flamingoladder.platform.exceptions import OutcomeUnknownError
from flamingoladder.platform.exceptions import PlatformUnavailableError
from flamingoladder.platform.hostlist import HostStatus
from flamingoladder.platform.hostlist import ListedHost
from flamingoladder.platform.http_hosts import HttpHostList
from flamingoladder.platform.http_objects import HttpObjects
from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.platform.http_transport import HttpReply
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.platform import HostSettings
from flamingoladder.standins.platform import LaggingHosts
from flamingoladder.standins.platform import PlatformState
from tests.platform.access import TOKEN
from tests.platform.access import connected
from tests.platform.access import served

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.1
FIRST = (ListedHost("h1", HostStatus.LIVE),)
SECOND = (ListedHost("h1", HostStatus.LEAVING), ListedHost("h2", HostStatus.LIVE))


@pytest.mark.parametrize("name", ["0f3a", "snap/shot ü?#%2F"])
async def test_an_object_is_stored_once_and_found_again(name: str) -> None:
    async with served(PlatformState()) as server, connected(server.url) as transport:
        objects = HttpObjects(transport)
        assert await objects.get(name, TIMEOUT_S) is None
        await objects.put(name, b"\x00content", TIMEOUT_S)
        await objects.put(name, b"\x00content", TIMEOUT_S)
        assert await objects.get(name, TIMEOUT_S) == b"\x00content"


async def test_an_object_whose_answer_is_lost_is_stored() -> None:
    state = PlatformState()
    state.faults = FaultSettings(lost_answers=1)
    async with served(state) as server, connected(server.url) as transport:
        objects = HttpObjects(transport)
        with pytest.raises(OutcomeUnknownError):
            await objects.put("a", b"1", SHORT_TIMEOUT_S)
        assert await objects.get("a", TIMEOUT_S) == b"1"


async def test_the_host_list_is_followed_through_changes_and_outages() -> None:
    state = PlatformState()
    async with served(state) as server, connected(server.url) as transport:
        hosts = HttpHostList(transport)
        assert await hosts.read(TIMEOUT_S) == ()
        state.hosts.put(HostSettings(FIRST), 0)
        assert await hosts.read(TIMEOUT_S) == FIRST
        assert await hosts.read(TIMEOUT_S) == FIRST
        state.faults = FaultSettings(down=True)
        with pytest.raises(PlatformUnavailableError):
            await hosts.read(SHORT_TIMEOUT_S)
        state.faults = FaultSettings()
        state.hosts.put(HostSettings(SECOND), 0)
        assert await hosts.read(TIMEOUT_S) == SECOND


class CountingTransport(HttpTransport):
    """A transport that keeps the statuses of its replies."""

    def __init__(self, url: str, token: str) -> None:
        super().__init__(url, token)
        self.statuses: list[int] = []

    async def read(self, call: HttpCall, timeout_s: float) -> HttpReply:
        """Make the call."""
        reply = await super().read(call, timeout_s)
        self.statuses.append(reply.status)
        return reply


async def test_an_unchanged_host_list_is_not_transferred_again() -> None:
    state = PlatformState()
    async with served(state) as server:
        transport = CountingTransport(server.url, TOKEN)
        hosts = HttpHostList(transport)
        for _ in range(3):
            await hosts.read(TIMEOUT_S)
        state.hosts.put(HostSettings(FIRST), 0)
        await hosts.read(TIMEOUT_S)
        await transport.close()
    assert transport.statuses == [200, 304, 304, 200]


def test_a_changed_host_list_is_seen_late() -> None:
    hosts = LaggingHosts()
    hosts.put(HostSettings(FIRST, lag_s=0), 10.0)
    hosts.put(HostSettings(SECOND, lag_s=2.0), 10.0)
    assert hosts.seen(11.9) == FIRST
    assert hosts.seen(12.0) == SECOND
