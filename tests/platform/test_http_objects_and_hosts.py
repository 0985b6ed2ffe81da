"""Tests of the object store and the host list against the stand-in."""

from __future__ import annotations

import pytest

from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.services import StoreHosts
from flamingoladder.platform.services import StoreObjects
from flamingoladder.platform.standins.state import PlatformState
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost
from tests.platform.access import connected
from tests.platform.access import served

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.1
FIRST = (ListedHost("h1", HostStatus.LIVE),)
SECOND = (ListedHost("h1", HostStatus.LEAVING), ListedHost("h2", HostStatus.LIVE))


@pytest.mark.parametrize("name", ["0f3a", "snap/shot ü?#%2F"])
async def test_an_object_is_stored_once_and_found_again(name: str) -> None:
    async with served(PlatformState()) as server, connected(server.url) as transport:
        objects = StoreObjects(transport)
        assert await objects.get(name, TIMEOUT_S) is None
        await objects.put(name, b"\x00content", TIMEOUT_S)
        await objects.put(name, b"\x00content", TIMEOUT_S)
        assert await objects.get(name, TIMEOUT_S) == b"\x00content"


async def test_an_object_whose_answer_is_lost_is_stored() -> None:
    state = PlatformState()
    state.faults = FaultSettings(lost_answers=1)
    async with served(state) as server, connected(server.url) as transport:
        objects = StoreObjects(transport)
        with pytest.raises(OutcomeUnknownError):
            await objects.put("a", b"1", SHORT_TIMEOUT_S)
        assert await objects.get("a", TIMEOUT_S) == b"1"


async def test_the_host_list_is_followed_through_changes_and_outages() -> None:
    state = PlatformState()
    async with served(state) as server, connected(server.url) as transport:
        hosts = StoreHosts(RowStore(transport))
        assert await hosts.read(TIMEOUT_S) == ()
        state.list_hosts(FIRST)
        assert await hosts.read(TIMEOUT_S) == FIRST
        assert await hosts.read(TIMEOUT_S) == FIRST
        state.faults = FaultSettings(down=True)
        with pytest.raises(PlatformUnavailableError):
            await hosts.read(SHORT_TIMEOUT_S)
        state.faults = FaultSettings()
        state.list_hosts(SECOND)
        assert await hosts.read(TIMEOUT_S) == SECOND
