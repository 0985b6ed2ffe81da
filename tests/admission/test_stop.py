"""Test that a graceful stop refuses the requests that wait at the host."""

from __future__ import annotations

import asyncio
from random import Random

import aiohttp
import msgspec
import pytest

from flamingoladder.admission.service_admission import ServiceAdmission
from flamingoladder.entry import daemon
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.platform.standins.deployment import local_platform


@pytest.mark.parametrize(
    ("grace_s", "reason"), [(1.0, "host_leaving"), (6.0, "no_capacity")], ids=["short", "long"]
)
async def test_stop_refuses_queued_requests_before_it_ends(
    monkeypatch: pytest.MonkeyPatch, grace_s: float, reason: str
) -> None:
    """Guards against connections that are cut while their requests wait for a target."""
    choose = LoadBalancer.choose

    def busy(*arguments: object) -> object:
        return msgspec.structs.replace(choose(*arguments), all_busy=True)  # type: ignore[arg-type,type-var]

    async with local_platform(Random(), {"turf": ["k-turf"]}, hosts=1) as platform:
        [host] = platform.hosts
        monkeypatch.setattr(daemon, "DEREGISTRATION_DELAY_S", 0.05)
        monkeypatch.setattr(LoadBalancer, "choose", busy)
        monkeypatch.setattr(ServiceAdmission, "may_send", lambda *_: False)
        bounds = msgspec.structs.replace(host._settings.bounds, grace_s=grace_s)
        host._settings = msgspec.structs.replace(host._settings, bounds=bounds)
        headers = {"Host": "rental.example", "X-Api-Key": "k-turf"}
        url = f"{platform.caller_urls[0]}/bookings/1"
        async with aiohttp.ClientSession() as session:
            post = asyncio.create_task(session.post(url, headers=headers))
            await asyncio.sleep(0.1)
            assert host._components.admission.queued_by_workspace == {"turf": 1}
            await host.stop()
            async with asyncio.timeout(1.0):
                response = await post
                refusal = await response.json()
        assert response.status == 503
        assert (refusal["reason"], refusal["verdict"]) == (reason, "not_run")
        assert platform.runs == []
