"""Tests of the process support, with the stand-ins as real processes."""

from __future__ import annotations

import signal
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import pytest

from flamingoladder.standins.control import PlatformControl
from flamingoladder.standins.control import UpstreamControl
from flamingoladder.standins.exceptions import ProcessNotReadyError
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.platform import HostSettings
from flamingoladder.standins.processes import Processes
from flamingoladder.standins.processes import free_ports
from flamingoladder.standins.upstream_messages import LoadReport
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost

if TYPE_CHECKING:
    from pathlib import Path

TOKEN = {"FLAMINGOLADDER_PLATFORM_TOKEN": "platform-token"}
GIVE_UP_S = 0.2


def _url(port: int) -> str:
    return f"http://127.0.0.1:{port}"


async def test_the_platform_is_controlled_while_it_is_down(tmp_path: Path) -> None:
    port = free_ports(1, Random())
    async with Processes(tmp_path, TOKEN) as processes:
        platform = processes.start("platform", "standin-platform", "--port", str(port))
        await platform.wait_until_ready(_url(port))
        control = PlatformControl(_url(port), "platform-token")
        await control.set_faults(FaultSettings(down=True))
        await control.set_hosts(HostSettings((ListedHost("h1", HostStatus.LIVE),)))
        assert (await control.counts()).writes == 0
        with pytest.raises(aiohttp.ClientResponseError):
            await PlatformControl(_url(port), "wrong").counts()
        assert await processes.stop_all() == {"platform": 0}


async def test_a_process_is_frozen_thawed_killed_and_started_again(tmp_path: Path) -> None:
    first = free_ports(2, Random())
    arguments = ("--first-port", str(first), "--count", "2", "--service", "catalogue")
    second = UpstreamControl(_url(first + 1))
    async with Processes(tmp_path) as processes:
        process = processes.start("catalogue", "standin-upstreams", *arguments)
        await process.wait_until_ready(f"{_url(first + 1)}/health")
        process.freeze()
        with pytest.raises(ProcessNotReadyError, match="no answer"):
            await process.wait_until_ready(f"{_url(first)}/health", GIVE_UP_S)
        process.thaw()
        assert await second.load() == LoadReport(0, 3, False)
        process.kill()
        assert await process.wait() == -signal.SIGKILL
        process.start()
        await process.wait_until_ready(f"{_url(first + 1)}/health")
        assert (await second.runs()).runs == ()


async def test_a_process_that_ends_early_is_reported_with_its_log(tmp_path: Path) -> None:
    port = free_ports(1, Random())
    async with Processes(tmp_path, {"FLAMINGOLADDER_PLATFORM_TOKEN": ""}) as processes:
        platform = processes.start("platform", "standin-platform", "--port", str(port))
        with pytest.raises(ProcessNotReadyError, match="FLAMINGOLADDER_PLATFORM_TOKEN must be set"):
            await platform.wait_until_ready(_url(port))
